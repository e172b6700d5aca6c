Feature: Failures of endpoints
    No acknowledged write is lost or doubled, reads are never stale, and writes succeed again after each failure.

    Background:
        Given a small site under load

    Scenario: The primary is killed
        When the primary is killed
        Then writes are acknowledged again in a higher term
        And every guarantee to callers holds

    Scenario: The primary is frozen, and resumes after it was superseded
        When the primary is frozen
        Then writes are acknowledged again in a higher term
        When the frozen endpoint resumes
        Then the endpoint follows the new primary
        And every guarantee to callers holds

    Scenario: The primary is killed while the platform is down
        When the platform is down
        And the primary is killed
        Then writes are acknowledged again in a higher term
        And every guarantee to callers holds

    Scenario: A replica falls far behind
        When one replica lags by 3000 ms
        And callers make 300 more operations
        Then every guarantee to callers holds

    Scenario: The primary is cut off from its replicas
        When the primary is cut off from its replicas
        Then writes are acknowledged again in a higher term
        And every guarantee to callers holds

    Scenario: The primary leaves
        When the primary is leaving
        Then writes are acknowledged again in a higher term
        And the leaving endpoint receives no new work
        And every guarantee to callers holds

    Scenario: A replica falls far behind and the primary is killed
        When one replica lags by 3000 ms
        And callers make 300 more operations
        And the primary is killed
        Then writes are acknowledged again in a higher term
        And every guarantee to callers holds
