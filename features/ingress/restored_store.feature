Feature: A store that comes back from an older copy

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

  Scenario Outline: An endpoint that leaves right after a return is not used
    # Guards against a row of a leaving endpoint that is skipped because its
    # version is below one of before the return.
    Given a fleet with 2 entries, 1 model endpoints and 2 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    When the store comes back and counts <counter>, and "p1" leaves
    Then "p1" gets no complaint later than 2 s after that

    Examples: counter
      | counter          |
      | from there       |
      | beyond at once   |
      | beyond 1 s later |

  Scenario Outline: An endpoint that registers right after a return is used
    # Guards against a service without endpoints, because rows whose versions
    # were given out before are skipped.
    Given a fleet with 2 entries, 1 model endpoints and 0 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    When the store comes back and counts <counter>, and "p8" registers
    Then "p8" gets complaints of all entries within 2 s

    Examples: counter
      | counter          |
      | from there       |
      | beyond at once   |
      | beyond 1 s later |

  Scenario Outline: An endpoint that left before a return is not used again
    # Guards against requests to an endpoint that only the copy lists.
    Given a fleet with 2 entries, 1 model endpoints and 2 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    And "p1" <leaves>
    When the store comes back and counts <counter>
    And 3 seconds pass until the operator writes again what was lost
    Then "p1" got no complaint since the return

    Examples: leaves
      | leaves                | counter          |
      | removes its row       | from there       |
      | removes its row       | beyond 1 s later |
      | announces its leaving | beyond 1 s later |

  Scenario Outline: An endpoint that registered since the copy stays in use
    # Guards against a service without endpoints until they have written
    # their rows again, and after that.
    Given a fleet with 2 entries, 1 model endpoints and 0 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    And "p8" registers after the copy
    When the store comes back and counts <counter>
    Then "p8" serves all complaints for 3 s

    Examples: counter
      | counter          |
      | from there       |
      | beyond 1 s later |

  Scenario Outline: A rolled back version is not tried again after a return
    # Guards against a roll-out that starts anew, or whose end operators do
    # not see, because its status or its order was lost.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    And the store is copied <moment>
    When the operator moves complaints to a version that fails within 6 s
    And the store comes back and counts <counter>
    And 2 seconds pass until the operator writes again what was lost
    Then the status "rolled_back" is written again once within 2 s
    And only "old" endpoints got complaints since the return

    Examples: moment
      | moment                | counter        |
      | before the order      | beyond at once |
      | while it was running  | from there     |
      | while it was running  | beyond at once |

  Scenario Outline: A completed roll-out is not started again after a return
    # Guards against traffic that goes back to the version that was replaced.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    And the store is copied <moment>
    When the operator moves complaints to a version that works within 4 s
    And the store comes back and counts <counter>
    And 1 seconds pass until the operator writes again what was lost
    Then the status "completed" is written again once within 2 s
    And only "new" endpoints got complaints since the return

    Examples: moment
      | moment               | counter        |
      | before the order     | beyond at once |
      | while it was running | from there     |

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

  Scenario: The rows of entries are written again after a return
    # Guards against an entry that others cannot find, because its row was
    # lost, and against entries that write their rows again and again.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    When another entry starts
    And the store comes back and counts from there
    Then the row of the new entry is written again once within 4 s

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
