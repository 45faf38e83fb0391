Feature: Endpoints that leave while the store can't be read

  Scenario Outline: An endpoint gets no requests once it stated that it leaves
    # Guards against requests that are lost with an endpoint: it stated in its
    # answers that it leaves, and no entry followed that. Entries that got no
    # such answer learn it from heartbeats.
    Given a fleet with 2 entries in one failure domain
    When the store goes down, and "p0" <leaves>
    And "entry-0" sends complaints for 3 s
    Then "p0" gets none of them later than 0.3 s after its first such answer
    When "entry-1" sends complaints for 1 s
    Then "p0" gets none of them

    Examples:
      | leaves                                   |
      | removes its row and states that it leaves |
      | states that it leaves                    |

  Scenario Outline: A late heartbeat does not bring an endpoint back that leaves
    # Guards against requests that are lost with an endpoint: it had stated that
    # it leaves, and a write of its row that the store did late listed it again.
    # Both entries know of it, one of them by the heartbeats of the other.
    Given a fleet with 2 entries in one failure domain
    When "p0" <leaves>, while "entry-0" sends complaints
    And its last heartbeat is done 1 s after that
    And "entry-0" sends complaints for 1 s
    Then "p0" gets none of them
    When "entry-1" sends complaints for 1 s
    Then "p0" gets none of them

    Examples:
      | leaves                                    |
      | states that it leaves and removes its row |
      | announces in its row that it leaves       |
      | announces it in its row and removes that  |
