Feature: Exchange of last-seen ages between neighbours

  Scenario: The merged table agrees with a search through all reports
    # Guards against an age that is lost, becomes younger or is assigned to
    # another entry when lists differ or names are omitted.
    Then for any order of lists, sends and deliveries the table of ages equals the reference table and no age is lower than the true one

  Scenario: Without the store a minority stops and the majority admits work
    # Guards against ages that stay young while entries of a minority forward
    # them to each other.
    Given 9 entries that exchange ages without a store for 15 s
    Then all 9 entries of the control network admit work
    When 4 of them are cut off from the other 5
    Then within 10 s the minority stops admitting and the majority admits for 30 s

  Scenario: Without the store both halves of a partition stop
    # Guards against two halves of a partition that both admit work.
    Given 8 entries that exchange ages without a store for 15 s
    When 4 of them are cut off from the other 4
    Then within 10 s no entry of the control network admits work

  Scenario: The partition test detects a table that resets ages
    # Shows that the scenarios above fail if entries forward ages as zero.
    Given 9 entries whose table forgets ages, without a store for 15 s
    When 4 of them are cut off from the other 5
    Then after 10 s some entry of the minority still admits work

  Scenario: A higher revision anywhere ends the confirmation by a majority
    # Guards against counting an entry that a neighbour reports as seen while
    # it omits the higher revision known to that entry.
    Given 9 entries that exchange ages without a store for 15 s
    When one entry receives a revision whose parts nobody can fetch
    Then within 20 s no entry of the control network admits work

  Scenario: The revision test detects an exchange that omits known revisions
    # Shows that the scenario above fails if only the revision in force is
    # reported.
    Given 9 entries that send only their revision in force, without a store for 15 s
    When one entry receives a revision whose parts nobody can fetch
    Then after 20 s some entry of the control network still admits work

  Scenario: A store confirmation reaches an entry through its neighbours
    # Guards against entries that stop although the store answers a neighbour.
    Given 9 entries that exchange ages without a store for 15 s
    When 4 of them are cut off from the other 5
    And one entry of the minority reads the store each second for 20 s
    Then all 4 entries of the minority admit work

  Scenario: Each of 420 entries sees a majority within the limit
    # Guards against ages that exceed 10 s over the hops at full size.
    Given 420 entries that exchange ages without a store for 14 s
    Then all 420 entries admit work at each second of the next 4 s
    And each entry sent less than 3500 bytes a second of ages

  Scenario: Neighbours whose lists differ by many changes name the entries
    # Guards against ages that cannot be decoded after a long interruption.
    Given two neighbours whose lists have no common digest
    When they exchange ages three times
    Then each has received the ages of the other, by name
