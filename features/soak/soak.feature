Feature: The entries under random faults from outside

  Scenario: A fixed seed
    # Guards against promises that break when faults overlap: kills, pauses,
    # planned stops, harmed connections, a store that fails.
    When the soak runs seed 1 for 8 s
    Then no promise was broken

  Scenario: A fresh seed
    # Guards against faults that no kept seed shows; the seed is printed.
    When the soak runs a fresh seed for 8 s
    Then no promise was broken
