Feature: Membership of entry instances by heartbeats

  Scenario: An entry without heartbeats is not alive
    # Guards against sending callers to an entry that was killed.
    Given members that received heartbeats of "e1, e2" at 0.0 s
    When a heartbeat of "e1" arrives at 1.0 s
    Then "e1" are alive at 1.5 s

  Scenario: An old record does not revive an entry
    # Guards against relayed records of an entry that has ended.
    Given members that received heartbeats of "e1, e2" at 0.0 s
    When an old record of "e2" arrives at 3.0 s
    Then nobody is alive at 3.0 s

  Scenario: A stored record does not make an entry alive
    # Guards against rows of entries that ended long ago.
    Given members that read the record of "e1" from the store
    Then nobody is alive at 0.0 s
    And heartbeats go to 1 addresses

  Scenario: A restarted entry is alive from its first heartbeat
    # Guards against ignoring a new incarnation, whose heartbeats start at 1.
    Given members that received heartbeats of "e1, e2" at 0.0 s
    When a heartbeat of a restarted "e2" arrives at 5.0 s
    Then "e2" are alive at 5.0 s

  Scenario: A stored record is kept on a machine that runs for days
    # Guards against removing a stored address before a heartbeat was sent to
    # it, as the monotonic clock does not start at the read.
    Given members that received heartbeats of "e1" at 90000.0 s
    When the record of "e2" is read from the store at 90000.0 s
    And expired members are removed at 90000.5 s
    Then heartbeats go to 2 addresses
    And "e1" are alive at 90000.5 s

  Scenario: An entry that starts again after its clock was set back is alive
    # Guards against ignoring an entry whose start looks older than its last
    # one, for as long as the clock was set back.
    Given members that received heartbeats of "e1, e2" at 0.0 s
    When a heartbeat of "e2", whose clock was set back, arrives at 0.5 s
    Then the start of "e2" is 1
    When a heartbeat of "e2", whose clock was set back, arrives at 2.0 s
    Then "e2" are alive at 2.0 s
    When a record of "e2" from before its clock was set back arrives at 2.1 s, sent at 0.2 s
    Then the start of "e2" is 0

  Scenario: A starting entry reads the newest configuration
    # Guards against installing the configuration of an entry that lags
    # behind, in which a withdrawn key is valid.
    Then an entry at version 0 reads from "e1" of "5, 9, 7"
    And an entry at version 9 reads from none of "5, 9, 7"

  Scenario: The cost of a heartbeat does not grow with the fleet
    # Guards against heartbeats to all members in a fleet of 420 entries.
    Given members that received heartbeats of 420 entries at 0.0 s
    Then heartbeats go to 6 addresses
    And 2 of them are in other failure domains
    And a datagram with relayed records fits 1400 bytes

  Scenario: Relayed heartbeats reach a large fleet in time
    # Guards against removing live entries whose heartbeats are relayed.
    When 87 entries exchange heartbeats for 20 s and lose 3 in 100 datagrams
    Then at most 1 in 100 views misses a live entry
    And an entry that stops is dead in all views within 3.5 s

  Scenario: Damaged datagrams are dropped
    # Guards against a process that ends because of invalid input.
    Then generated datagrams never end the exchange

  Scenario Outline: Entries that reach few others use a part of a limit
    # Guards against two halves of a partitioned fleet that each use the whole
    # limit of an endpoint, and against a lost failure domain that takes its
    # part of the limit with it.
    Given <entries> other entries of which <silent> have been silent for <silence> s
    Then this entry may use <share> of a limit

    Examples:
      | entries | silent | silence | share |
      | 0       | 0      | 5       | 1.0   |
      | 8       | 0      | 5       | 1.0   |
      | 8       | 3      | 5       | 1.0   |
      | 9       | 5      | 5       | 0.5   |
      | 9       | 9      | 5       | 0.1   |
      | 9       | 9      | 60      | 1.0   |

  Scenario: Records of an earlier release are understood
    # Guards against entries that do not see each other while they are
    # upgraded one after the other.
    Then a record without the last era of its configuration is of era "3-3"
    And an entry of an earlier release reads era 3 of the same record

  Scenario: A datagram holds as many large records as fit
    # Guards against heartbeats that are relayed later while records are large:
    # of nine records above 350 bytes, two were sent.
    Then a datagram of 9 records with 190 bytes of use holds at least 3 records
