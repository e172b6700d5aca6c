Feature: Failures and stops of the system's own processes
    A killed process loses no acknowledged write; a planned stop interrupts no request.

    Background:
        Given a small site under load

    Scenario: An entry is killed in the middle of transactions
        When the entry of VM 1 is killed
        Then callers get 100 more answers
        And every guarantee to callers holds

    Scenario: A gateway is killed in the middle of transactions
        When the gateway of VM 1 is killed
        Then callers get 100 more answers
        When the gateway of VM 1 is started again
        Then callers get 100 more answers
        And every guarantee to callers holds

    Scenario: A gateway is paused and resumes with outdated state
        When the gateway of VM 1 is paused
        Then callers get 100 more answers
        When the gateway of VM 1 is resumed
        Then callers get 100 more answers
        And every guarantee to callers holds

    Scenario: An entry is stopped gracefully
        When the entry of VM 2 is stopped gracefully
        Then the process exits without an error
        And no request has an unknown outcome
        And every guarantee to callers holds

    Scenario: A gateway is stopped gracefully
        When the gateway of VM 2 is stopped gracefully
        Then the process exits without an error
        And no request has an unknown outcome
        And every guarantee to callers holds
