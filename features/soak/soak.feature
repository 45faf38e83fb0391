Feature: Entries under randomly injected faults

  Scenario: A fixed seed
    # Guards against guarantees that fail only when faults overlap: kills,
    # pauses, planned stops, disturbed connections and store failures.
    When the soak runs seed 1 for 8 s
    Then no guarantee was violated

  Scenario: A fresh seed
    # Guards against violations that the fixed seed does not reach. The seed
    # is printed.
    When the soak runs a fresh seed for 8 s
    Then no guarantee was violated

  Scenario: A fixed seed with returns of the store from older copies
    # Guards against a configuration that is not in force, or goes back, when
    # returns of the store overlap with other faults.
    When the soak runs seed 1 with returns of the store for 8 s
    Then no guarantee was violated

  Scenario: A fresh seed with returns of the store from older copies
    # Guards against violations that the fixed seed does not reach.
    When the soak runs a fresh seed with returns of the store for 8 s
    Then no guarantee was violated

  Scenario: A run that ends with an error names its seed
    # Guards against failures that cannot be repeated: an entry that does not
    # become ready again ended the run before the seed was printed.
    When an entry does not become ready in a run of seed 17
    Then the error names the seed 17
    And the faults and logs of seed 17 are kept

  Scenario: A check that ends with an error fails the run
    # Guards against a run without violations whose check did not run.
    When one of two tasks of a run ends with an error before the others
    Then its error is raised and the other task is cancelled
