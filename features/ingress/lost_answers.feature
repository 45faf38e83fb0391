Feature: Endpoints that leave after the store lost its answers

  Scenario Outline: A leaving endpoint gets no requests after the drain limit
    # Guards against entries whose polls of the store stay silent for 9.5 s, as
    # the answers were lost: requests reached an endpoint 4 s to 6 s after the
    # store had confirmed that it leaves, 2 s allowed. Entries that do not ask
    # again in time learn it from the heartbeats of those that do, which name
    # endpoints that announced it, and the newest row for all others.
    Given a fleet with <entries> entries in one failure domain
    When the store loses its answers for 1.2 s while an endpoint is added
    And the store is sound for 3.2 s and the row of an endpoint is <row> then
    Then that endpoint gets no request later than 2 s after that

    Examples:
      | entries | row       |
      | 3       | draining  |
      | 4       | removed   |

  Scenario: A call without an answer ends polls that may be silent as well
    # Guards against an entry that knows of a lost answer and still waits for
    # those to its polls.
    Given an entry with settings in a file
    When a call of the entry to the store gets no answer
    Then its polls of both tables are ended, as "silence"
