Feature: Revision in force and its freshness

  Scenario: Revisions never go backwards
    # Guards against an old head that arrives late and undoes a newer one.
    Then under any order of offers and installs the revision in force is the highest installed

  Scenario: Nobody admits work long after its revision was replaced
    # Guards against entries that keep each other's stale knowledge fresh.
    Then under any order of reads, reports, accepts and installs no entry admits under a revision replaced more than 10 s ago

  Scenario: Without a configuration nothing is admitted
    Given a configuration tracker among the entries "a, b, c"
    Then the tracker admits nothing

  Scenario: A read of the store allows work for 10 s
    Given a configuration tracker among the entries "a, b, c"
    And revision 1 is in force
    When the store confirms revision 1
    And 9.9 s pass for the tracker
    Then the tracker admits work
    When 0.2 s pass for the tracker
    Then the tracker admits nothing

  Scenario: The age of a slow read counts from its request
    # Guards against a read that was asked before a newer text was accepted
    # and answered much later.
    Given a configuration tracker among the entries "a, b, c"
    And revision 1 is in force
    When the store confirms revision 1 after 8 s
    And 2.1 s pass for the tracker
    Then the tracker admits nothing

  Scenario: A peer's confirmation counts with its age
    Given a configuration tracker among the entries "a, b, c, d, e"
    And revision 1 is in force
    When peer "b" reports revision 1 confirmed 9 s ago
    Then the tracker admits work
    When 1.1 s pass for the tracker
    Then the tracker admits nothing

  Scenario: More than half of the entries go on during an outage
    Given a configuration tracker among the entries "a, b, c, d, e"
    And revision 1 is in force
    When peer "b" reports revision 1 never confirmed
    Then the tracker admits nothing
    When peer "c" reports revision 1 never confirmed
    Then the tracker admits work
    When 10.1 s pass for the tracker
    Then the tracker admits nothing

  Scenario: Half of the entries do not go on
    # Guards against two halves of a partition that both go on.
    Given a configuration tracker among the entries "a, b, c, d"
    And revision 1 is in force
    When peer "b" reports revision 1 never confirmed
    Then the tracker admits nothing

  Scenario: Entries that are not listed do not count
    # Guards against replaced instances that make up a majority.
    Given a configuration tracker among the entries "a, b, c, d, e"
    And revision 1 is in force
    When peer "x" reports revision 1 never confirmed
    And peer "y" reports revision 1 never confirmed
    And peer "z" reports revision 1 never confirmed
    Then the tracker admits nothing

  Scenario: A majority does not help an entry that was left behind
    # Guards against going on with a text that peers have replaced.
    Given a configuration tracker among the entries "a, b, c"
    And revision 1 is in force
    When peer "b" reports revision 2 never confirmed
    And 10.1 s pass for the tracker
    And peer "b" reports revision 2 never confirmed
    And peer "c" reports revision 2 never confirmed
    Then the tracker admits nothing
    When revision 2 is installed
    Then the tracker admits work

  Scenario: A single entry needs the store
    Given a configuration tracker among the entries "a"
    And revision 1 is in force
    Then the tracker admits nothing
    When the store confirms revision 1
    Then the tracker admits work

  Scenario: Confirmations by a majority are not passed on
    # Guards against two entries that confirm each other in a circle.
    Given a configuration tracker among the entries "a, b, c"
    And revision 1 is in force
    When peer "b" reports revision 1 never confirmed
    Then the tracker tells its peers that revision 1 was never confirmed
