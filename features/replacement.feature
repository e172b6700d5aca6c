Feature: Replacement of VMs
    Every planned stop is graceful: replacing all VMs one after another causes no error for callers.

    Scenario: Every VM is replaced
        Given a small site under load without transactions
        When every VM is replaced, one after another
        Then callers get 100 more answers
        And no caller received an error
        And every guarantee to callers holds
