Feature: Configuration versions
    An accepted version is in force everywhere and never reverts; an operator's command reports what happened to the patch.

    Background:
        Given a small site under load

    Scenario: Two operators race to patch the same version
        When two operators submit different patches against version 1 at the same moment
        Then exactly one patch is accepted
        And the version in force is 2 with the accepted patch
        And every guarantee to callers holds

    Scenario: The platform's answer to a patch is lost
        When the platform loses its next answer about the configuration
        And an operator submits a patch against version 1
        Then the patch is reported as version 2
        And the version in force is 2 with the accepted patch
        And every guarantee to callers holds

    Scenario: The platform is down and becomes available again
        When the platform is down
        Then callers get 100 more answers
        When the platform is up again
        And an operator submits a patch against version 1
        Then the patch is reported as version 2
        And every guarantee to callers holds
