Feature: Failures of the network
    A cut availability zone or a silent connection costs time, never a promise.

    Background:
        Given a small site under load

    Scenario: The availability zone of the primary is cut off
        When the availability zone of the primary is cut off
        Then writes are acknowledged again under a higher term
        When all availability zones are joined again
        And callers make 200 more operations
        Then every promise to callers was kept

    Scenario: Open connections between availability zones go silent
        When all open connections between availability zones go silent
        Then callers get 100 more answers
        And every promise to callers was kept

    Scenario: Open connections to the primary go silent
        When the connections open to the primary go silent
        Then callers get 100 more answers
        And every promise to callers was kept
