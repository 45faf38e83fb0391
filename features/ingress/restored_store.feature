Feature: Configurations after a store came back from an older copy

  The store of the platform may return from a copy that is some seconds old.
  Versions of rows are then given out again. Before the first call after the
  return, it counts "from there" (below what the entries know), or "beyond at
  once" because other writers raised its version; "beyond 1 s later" is both.

  Scenario Outline: A configuration written after a return is in force
    # Guards against a change that has no effect because its row has a lower
    # version than rows of before the return.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    When the store comes back and counts <counter>, and a route is added
    Then all entries know the added route within 2 s
    And no entry served the withdrawn key

    Examples: counter
      | counter          |
      | from there       |
      | beyond at once   |
      | beyond 1 s later |

  Scenario Outline: A lower version written before the first read is in force
    # Guards against a change by an operator who continues from the copy that
    # is taken for that of the copy, as no entry has read the table before.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    And the operator withdraws a key that a copy of the store of 1 s before still has
    When the store comes back and counts from there, and a route is added as version <version>
    Then all entries know the added route within 3 s
    And no entry served the withdrawn key

    Examples: version
      | version |
      | 5       |
      | 6       |

  Scenario Outline: No entry goes back to the configuration of the copy
    # Guards against a withdrawn key that is valid again until the operator
    # has written the lost configuration again.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    When the store comes back and counts <counter>
    And 2 seconds pass until the operator writes again what was lost
    And another second passes
    Then no entry served the withdrawn key

    Examples: counter
      | counter          |
      | from there       |
      | beyond 1 s later |

  Scenario: A configuration is in force although it was lost in between
    # Guards against a lost configuration that, written again, makes entries
    # miss or refuse the next one.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    When the store comes back and counts from there
    And 1 seconds pass until the operator writes again what was lost
    And the operator adds a route
    Then all entries know the added route within 2 s
    And no entry served the withdrawn key

  Scenario: An entry that starts after a return learns of the lost change
    # Guards against an entry that keeps the configuration of the copy while
    # the others have a newer one.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    When the store comes back and counts from there
    And another entry starts
    Then the new entry refuses the withdrawn key within 2 s and stays so
    When 0 seconds pass until the operator writes again what was lost
    Then the new entry refuses the withdrawn key within 0 s and stays so

  Scenario Outline: A configuration written after two returns is in force
    # Guards against a second return that is not noticed, because the entries
    # are still handling the first one.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    When the store comes back and counts <first>
    And the store comes back and counts <second>, and a route is added
    Then all entries know the added route within 2 s
    And no entry served the withdrawn key

    Examples: first
      | first          | second         |
      | from there     | beyond at once |
      | beyond at once | from there     |

  Scenario Outline: An era that cannot be read does not stop configurations
    # Guards against entries that stop following the store because the header
    # with its era is missing or damaged, or names an era of before.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    When the store states its era as "<first>" and then as "<second>"
    And the operator adds a route
    Then all entries know the added route within 2 s
    And no entry served the withdrawn key

    Examples: first
      | first                   | second  |
      | nothing                 | nothing |
      | 2                       | soon    |
      | 3                       | 2       |
      | 99999999999999999999999 | -1      |
