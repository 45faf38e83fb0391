Feature: Endpoints after a store came back from an older copy

  The store of the platform may return from a copy that is some seconds old.
  Versions of rows are then given out again. Before the first call after the
  return, it counts "from there" (below what the entries know), or "beyond at
  once" because other writers raised its version; "beyond 1 s later" is both.

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
