Feature: Blocks in the platform's store

  Scenario: Blocks outlast the loss of all entries
    # Guards against endpoints that crash anew each time that all entries
    # lose power.
    Given an entry that writes evidence to the store
    When endpoints "e1, e2" crash by prompts with "a b"
    And the entry writes its row
    And an entry starts and reads the rows
    Then it blocks "a b"
    And it admits "a"

  Scenario: Evidence without a block is not written
    # Guards against calls to the store for each crash of an endpoint.
    Given an entry that writes evidence to the store
    When endpoints "e1" crash by prompts with "a b"
    And the entry writes its row
    Then the store got 0 writes

  Scenario: Unchanged evidence is written once
    # Guards against a call to the store each second for a block.
    Given an entry that writes evidence to the store
    When endpoints "e1, e2" crash by prompts with "a b"
    And the entry writes its row
    And the entry writes its row
    Then the store got 1 writes

  Scenario: Other entries do not write the evidence that all have
    # Guards against one call to the store from each entry of a large fleet.
    Given an entry that leaves writing to others
    When endpoints "e1, e2" crash by prompts with "a b"
    And the entry writes its row
    Then the store got 0 writes

  Scenario: A block that ended is not restored
    # Guards against refusing sound prompts after a restart.
    Given an entry that writes evidence to the store
    When endpoints "e1, e2" crash by prompts with "a b"
    And the entry writes its row
    And an answer to "a b" goes on
    And the entry writes its row
    And an entry starts and reads the rows
    Then it admits "a b"

  Scenario Outline: A row of another time of day or content does no harm
    # Guards against blocks for ever after a clock step, and against an entry
    # that does not start because of a row.
    Given an entry that writes evidence to the store
    When endpoints "e1, e2" crash by prompts with "a b"
    And the entry writes its row
    And <event>
    And an entry starts and reads the rows
    Then it <decision> "a b"

    Examples:
      | event                            | decision |
      | the time of day is set back 10 s | blocks   |
      | an hour passes by the clock      | admits   |
      | the row is overwritten by others | admits   |
