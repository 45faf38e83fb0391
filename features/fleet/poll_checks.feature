Feature: A leaving endpoint is known in time after answers were lost

  # Virtual time. The store loses its answers from 20 s on while an endpoint
  # is added, so that the answers to the polls of all entries are lost. Another
  # endpoint leaves 3 s after the store is sound again (the contact limit).

  Scenario Outline: Lost answers do not keep a leaving endpoint in use
    # Guards against a poll that stays silent for 9.5 s: requests reached a
    # leaving endpoint for 4 s to 6 s instead of 2 s.
    Given <entries> entries in <domains> failure domains
    When the store loses answers for <lost_s> s and takes <answer_ms> ms for others
    Then all entries know within 2 s that the endpoint leaves

    Examples:
      | entries | domains | lost_s | answer_ms |
      | 1       | 1       | 0.05   | 4         |
      | 1       | 1       | 1.2    | 240       |
      | 3       | 1       | 0.05   | 240       |
      | 3       | 1       | 1.2    | 4         |
      | 9       | 3       | 0.05   | 4         |
      | 9       | 3       | 0.05   | 240       |
      | 9       | 3       | 1.2    | 4         |
      | 9       | 3       | 3      | 240       |
      | 60      | 3       | 0.05   | 4         |
      | 60      | 3       | 1.2    | 240       |

  Scenario: The older rule does not know it in time
    # Shows that the day above is one that breaks the limit.
    Given 9 entries in 3 failure domains
    When the store loses answers for 0.05 s by the older rule
    Then some entry does not know within 4 s that the endpoint leaves

  Scenario: The entry that reads for its failure domain dies
    # Guards against an entry that has to read for its domain from now on, and
    # whose poll began as one of 8 s.
    Given 3 entries in 2 failure domains
    When the store loses answers for 0.05 s and the first entry dies after that
    Then all entries know within 2 s that the endpoint leaves
    And a poll was ended as "overdue"

  Scenario Outline: The first entry of a fleet of one failure domain dies
    # Guards against the same where no other domain has a reader.
    Given <entries> entries in 1 failure domains
    When the store loses answers for 0.05 s and the first entry dies after that
    Then all entries know within 2 s that the endpoint leaves

    Examples:
      | entries |
      | 2       |
      | 3       |

  Scenario Outline: The entry that reads for its failure domain is cut off
    # Guards against a fleet of one failure domain that learns of a leaving
    # endpoint up to 7 s after it left, as its only reader is cut off from the
    # store and goes on to send heartbeats.
    Given <entries> entries in 1 failure domains
    When the store loses answers for 0.05 s and the first entry is cut off from it <after_s> s later
    Then all entries that reach the store know it within 2 s

    Examples:
      | entries | after_s |
      | 2       | 0.0     |
      | 3       | 0.0     |
      | 3       | 0.5     |
      | 3       | 2.0     |
      | 3       | 2.9     |
      | 16      | 0.5     |

  Scenario Outline: Calls to the store without a fault
    # Guards against shorter waits at all entries: each call is priced.
    Given <entries> entries in <domains> failure domains
    When nothing happens for 60 s but an endpoint that changes each 10 s
    Then an entry makes <before> calls a second by the older rule and <after> now
    And no poll was ended

    Examples:
      | entries | domains | before | after |
      | 3       | 1       | 0.94   | 1.08  |
      | 9       | 3       | 0.66   | 0.72  |
      | 60      | 3       | 0.09   | 0.09  |
      | 195     | 8       | 0.08   | 0.08  |

  Scenario: A report that the store does not confirm costs one call
    # Guards against polls that end again and again because an entry reports a
    # row that the store lost.
    Given a poll of 8 s by an entry that read version 10
    When others report the row of version 12 for 3 s
    Then the poll is ended 1 time, as "behind"

  Scenario: A change that all entries read costs no call
    # Guards against a check by each entry at each change.
    Given a poll of 8 s by an entry that read version 10
    When others report the row of version 12 for 0.2 s
    And the entry reads version 12
    Then the poll is ended 0 times, as ""

  Scenario Outline: A poll gets time to answer that begins after a report
    # Guards against a priced call that ends at once: the reader of a failure
    # domain pauses for 0.3 s to 0.5 s between polls, in which the others read
    # and report a change.
    Given a poll of 8 s by an entry that read version 10
    When the row of version 12 was reported 0.4 s before the poll
    Then the poll is ended <times>, as "<reason>" after <after> s

    Examples:
      | after | times   | reason |
      | 0.2   | 0 times |        |
      | 0.3   | 1 time  | behind |

  Scenario: Further reports do not postpone the end of a silent poll
    # Guards against a silent poll that lasts while endpoints restart one after
    # the other, as each newer row began the wait anew.
    Given a poll of 8 s by an entry that read version 10
    When others report a newer row each 0.1 s for 0.4 s
    Then the poll is ended 1 time, as "behind"
