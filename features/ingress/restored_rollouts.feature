Feature: Roll-outs after a store came back from an older copy

  The store of the platform may return from a copy that is some seconds old.
  Versions of rows are then given out again. Before the first call after the
  return, it counts "from there" (below what the entries know), or "beyond at
  once" because other writers raised its version; "beyond 1 s later" is both.

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

  Scenario: The rows of entries are written again after a return
    # Guards against an entry that others cannot find, because its row was
    # lost, and against entries that write their rows again and again.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    And the operator withdraws a key that a copy of the store still has
    When another entry starts
    And the store comes back and counts from there
    Then the row of the new entry is written again once within 4 s
