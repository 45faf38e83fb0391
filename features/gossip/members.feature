Feature: Entry instances that are alive

  Scenario: A silent entry is no longer named
    # Guards against sending callers to an entry that was killed.
    Given members that heard "e1, e2" at 0.0 s
    When "e1" beats at 1.0 s
    Then "e1" are alive at 1.5 s

  Scenario: An old record does not revive an entry
    # Guards against relayed records of an entry that is gone.
    Given members that heard "e1, e2" at 0.0 s
    When an old record of "e2" arrives at 3.0 s
    Then nobody is alive at 3.0 s

  Scenario: A stored address says nothing about being alive
    # Guards against rows of entries that ended long ago.
    Given members that know the address of "e1" from the store
    Then nobody is alive at 0.0 s
    And beats go to 1 addresses

  Scenario: A new start of an entry counts from its first beat
    # Guards against ignoring an entry that started again.
    Given members that heard "e1, e2" at 0.0 s
    When a new start of "e2" beats at 5.0 s
    Then "e2" are alive at 5.0 s

  Scenario: The work of a beat does not grow with the fleet
    # Guards against beats to everybody at 420 entries.
    Given members that heard 420 entries at 0.0 s
    Then beats go to 6 addresses
    And 2 of them are in other failure domains
    And a datagram of theirs fits 1400 bytes

  Scenario: Beats reach a large fleet in time through others
    # Guards against taking live entries as gone where beats are relayed.
    When 87 entries exchange beats for 20 s and lose 3 in 100 datagrams
    Then at most 1 in 100 views misses a live entry
    And an entry that stops is gone everywhere within 3.5 s

  Scenario: Damaged datagrams are dropped
    # Guards against a process that ends because of bytes from outside.
    Then generated datagrams never end the exchange
