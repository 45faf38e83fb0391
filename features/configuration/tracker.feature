Feature: Revision in force and its freshness

  Scenario: Revisions never go backwards
    # Guards against an old head that arrives late and replaces a newer one.
    Then under any order of offers and installs the revision in force is the highest installed

  Scenario: No entry admits work long after its revision was replaced
    # Guards against entries that keep confirming a replaced revision to each
    # other. Two simulated entries read the store, report to each other and
    # install in random order.
    Then under any order of reads, reports, accepts and installs no entry admits under a revision replaced more than 10 s ago

  Scenario: Without a configuration no work is admitted
    Given a configuration tracker among the entries "a, b, c"
    Then the tracker admits nothing

  Scenario: A read of the store is a valid confirmation for 10 s
    Given a configuration tracker among the entries "a, b, c"
    And revision 1 is in force
    When the store confirms revision 1
    And 9.9 s pass for the tracker
    Then the tracker admits work
    When 0.2 s pass for the tracker
    Then the tracker admits nothing

  Scenario: The age of a confirmation counts from the request of the read
    # Guards against a read that was requested before a newer text was
    # accepted and answered much later.
    Given a configuration tracker among the entries "a, b, c"
    And revision 1 is in force
    When the store confirms revision 1 after 8 s
    And 2.1 s pass for the tracker
    Then the tracker admits nothing

  Scenario: A confirmation reported by a peer keeps its age
    # Guards against a confirmation that becomes younger when a peer reports
    # it.
    Given a configuration tracker among the entries "a, b, c, d, e"
    And revision 1 is in force
    When peer "b" reports revision 1 confirmed 9 s ago
    Then the tracker admits work
    When 1.1 s pass for the tracker
    Then the tracker admits nothing

  Scenario: A majority of the entries admits work during a store outage
    Given a configuration tracker among the entries "a, b, c, d, e"
    And revision 1 is in force
    When peer "b" reports revision 1 never confirmed
    Then the tracker admits nothing
    When peer "c" reports revision 1 never confirmed
    Then the tracker admits work
    When 10.1 s pass for the tracker
    Then the tracker admits nothing

  Scenario: Half of the entries do not admit work during a store outage
    # Guards against two halves of a partition that both admit work.
    Given a configuration tracker among the entries "a, b, c, d"
    And revision 1 is in force
    When peer "b" reports revision 1 never confirmed
    Then the tracker admits nothing

  Scenario: Entries that are not listed do not count towards a majority
    # Guards against replaced instances that form a majority.
    Given a configuration tracker among the entries "a, b, c, d, e"
    And revision 1 is in force
    When peer "x" reports revision 1 never confirmed
    And peer "y" reports revision 1 never confirmed
    And peer "z" reports revision 1 never confirmed
    Then the tracker admits nothing

  Scenario: A majority does not confirm a revision that peers have replaced
    # Guards against an entry that admits work under a replaced text because
    # it still receives reports from a majority.
    Given a configuration tracker among the entries "a, b, c"
    And revision 1 is in force
    When peer "b" reports revision 2 never confirmed
    And 10.1 s pass for the tracker
    And peer "b" reports revision 2 never confirmed
    And peer "c" reports revision 2 never confirmed
    Then the tracker admits nothing
    When revision 2 is installed
    Then the tracker admits work

  Scenario: A single entry needs a confirmation by the store
    Given a configuration tracker among the entries "a"
    And revision 1 is in force
    Then the tracker admits nothing
    When the store confirms revision 1
    Then the tracker admits work

  Scenario: Confirmations by a majority are not reported to peers
    # Guards against two entries that keep confirming each other.
    Given a configuration tracker among the entries "a, b, c"
    And revision 1 is in force
    When peer "b" reports revision 1 never confirmed
    Then the tracker reports to its peers that revision 1 was never confirmed
