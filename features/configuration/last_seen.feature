Feature: Ages of the other entries travel between neighbours

  Scenario: The merged table says what all kept reports would say
    # Guards against an age that is lost, made younger or given to another
    # entry when lists differ or names are left out.
    Then for any order of lists, sends and deliveries the table of ages equals the reference table and no age is lower than the true one

  Scenario: A minority without the store stops and the majority goes on
    # Guards against ages that stay young while they go round in a circle.
    Given 9 entries that exchange ages without a store for 15 s
    Then all 9 entries of the control network admit work
    When 4 of them are cut off from the other 5
    Then within 10 s the minority stops admitting and the majority admits for 30 s

  Scenario: Two halves without the store both stop
    # Guards against two halves of a partition that both go on.
    Given 8 entries that exchange ages without a store for 15 s
    When 4 of them are cut off from the other 4
    Then within 10 s no entry of the control network admits work

  Scenario: The partition test finds a table that forgets ages
    Given 9 entries whose table forgets ages, without a store for 15 s
    When 4 of them are cut off from the other 5
    Then after 10 s some entry of the minority still admits work

  Scenario: A higher revision anywhere ends the confirmation by a majority
    # Guards against counting an entry through a neighbour that leaves out
    # the higher revision which that entry knew.
    Given 9 entries that exchange ages without a store for 15 s
    When one entry receives a revision whose parts nobody can fetch
    Then within 20 s no entry of the control network admits work

  Scenario: The revision test finds an exchange that leaves out known revisions
    Given 9 entries that send only their revision in force, without a store for 15 s
    When one entry receives a revision whose parts nobody can fetch
    Then after 20 s some entry of the control network still admits work

  Scenario: A store confirmation reaches an entry through its neighbours
    # Guards against entries that stop although the store answers others.
    Given 9 entries that exchange ages without a store for 15 s
    When 4 of them are cut off from the other 5
    And one entry of the minority reads the store each second for 20 s
    Then all 4 entries of the minority admit work

  Scenario: 420 entries hear of more than half of the others in time
    # Guards against ages that grow past 10 s over the hops at full size.
    Given 420 entries that exchange ages without a store for 14 s
    Then all 420 entries admit work at each second of the next 4 s
    And each entry sent less than 3500 bytes a second of ages

  Scenario: Neighbours whose lists differ by many changes name the entries
    # Guards against ages that stay unread after a long pause.
    Given two neighbours whose lists have no common digest
    When they exchange ages three times
    Then each has received the ages of the other, by name
