Feature: Fault soak
    The real program of a VM keeps its promises while faults of all kinds come from outside, in series that overlap.

    Scenario: A short soak with a fixed seed
        When the soak runs for 10 seconds with seed 11
        Then the soak finds no broken promise
