Feature: Configurations beside entries that lag behind the store

  Scenario: A starting entry does not go back to the configuration of another
    # Guards against a withdrawn key that is valid again: what an entry reads
    # first after its start counted as older than what another one read as a
    # change before.
    Given a fleet with 1 entries that may lose the store
    And the operator adds a key
    When entry-0 loses the store and the operator withdraws the key
    And another entry starts
    Then the new entry refuses the withdrawn key within 0 s and stays so
    And entry-0 refuses the withdrawn key within 2 s

  Scenario: An entry that missed a return installs what was written after it
    # Guards against an entry that has a configuration of the new era from
    # another entry and takes the next one, which it reads itself, as older.
    Given a fleet with 2 entries that may lose the store
    When entry-1 loses the store
    And the store comes back, and the operator adds a key
    And entry-0 is killed and the operator withdraws the key
    And entry-1 reaches the store again
    Then entry-1 refuses the withdrawn key within 2 s
