Feature: Failures of the network
    A cut availability zone or an unresponsive connection delays requests but violates no guarantee.

    Background:
        Given a small site under load

    Scenario: The availability zone of the primary is cut off
        When the availability zone of the primary is cut off
        Then writes are acknowledged again in a higher term
        When all availability zones are reconnected
        And callers make 200 more operations
        Then every guarantee to callers holds

    Scenario: Open connections between availability zones become unresponsive
        When all open connections between availability zones become unresponsive
        Then callers get 100 more answers
        And every guarantee to callers holds

    Scenario: Open connections to the primary become unresponsive
        When all open connections to the primary become unresponsive
        Then callers get 100 more answers
        And every guarantee to callers holds
