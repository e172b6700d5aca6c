Feature: Fault soak
    The real program of a VM meets its guarantees while external faults of all kinds occur in overlapping series.

    Scenario: A short soak with a fixed seed
        When the soak runs for 10 seconds with seed 11
        Then the soak finds no violated guarantee

    Scenario: A short soak of callers that belong to workspaces
        When the soak runs with workspaces for 10 seconds with seed 12
        Then the soak finds no violated guarantee
