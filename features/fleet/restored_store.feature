Feature: A store that comes back from an older copy

  Scenario: The table of a restored store is read although its version is lower
    # Guards against a follower that waits until the store's counter has passed
    # the version that it read last before the restore.
    Given a follower that read "x=1, y=1" at version 50 of era 1
    When the store is restored with "x=1" at version 20
    Then the follower knows "x=1" within 3 calls

  Scenario: Changes below the known version are read after a restore
    # Guards against going on from a number that is given out again: rows that
    # were written below it in the new era would never be seen.
    Given a follower that read "x=1, y=1" at version 50 of era 1
    When the store is restored with "x=2" at version 60
    Then the follower knows "x=2" within 3 calls

  Scenario: A waiting call ends when another entry reports a later era
    # Guards against a call that waits for changes of the era before: the
    # store may come back without ending it.
    Given a follower that read "x=1" at version 50 of era 1
    When the store is restored with "x=2" at version 60 and does not answer the waiting call
    And another entry reports era 2
    Then the follower knows "x=2" within 3 calls

  Scenario: An era that only another entry reports is asked for once
    # Guards against calls without end if the store does not confirm an era.
    Given a follower that read "x=1" at version 50 of era 1
    When another entry reports era 7 ten times
    Then the follower made at most 4 calls

  Scenario: A store that never has the changes is not asked without a pause
    # Guards against calls without end if the table and its changes come from
    # different eras.
    Given a follower that read "x=1" at version 50 of era 1
    When the store has no changes of any version for 1 s
    Then the follower made at most 12 calls

  Scenario: An era that goes back is that of the store
    # Guards against a follower that waits for an era that never comes again.
    Given a follower that read "x=1" at version 50 of era 3
    When the store is restored with "x=2" at version 20 of era 2
    Then the follower knows "x=2" within 3 calls

  Scenario: A restored store that states no era is recognised by its lag
    # Guards against a follower that never reads the table again: stale reads
    # lag by 3 s at most.
    Given a follower that read "x=1" at version 50 without an era
    When the store is restored with "x=2" at version 20 without an era
    Then the follower knows "x=2" after 4 s but not after 2 s

  Scenario Outline: An entry that has not seen the restore is not followed
    # Guards against going back to rows that are relayed from before.
    Given a follower that read "x=2" at version 20 of era 2
    When another entry relays "x=1" at version 50 of era 1 to a reader <reader>
    Then the reader does not use the answer

    Examples:
      | reader             |
      | of changes         |
      | of the whole table |

  Scenario: Readers of a relay read the whole table of a new era
    # Guards against changes that are merged into rows of another history.
    Given a relay that read "x=1, y=2" at version 50
    When it reads the whole table "x=3" at version 20 of era 1
    Then a reader at version 50 must read the whole table again
    And a reader without a version gets "x=3"
    And a reader at version 20 of era 1 gets ""

  Scenario: An endpoint that left is not used again by an older copy
    # Guards against requests to endpoints that a restored store lists as
    # ready, although they left or announced it after the copy was made.
    Given a registry with the endpoints "a, b, c, d"
    When "a" announces that it leaves
    And the row of "b" is removed at 20.0 s
    And the store is restored at 21.0 s and lists "a, b, c, d"
    Then "c, d" are usable at 21.0 s
    And "c, d" are usable at 25.9 s
    When the row of "b" is removed at 24.0 s
    Then "a, c, d" are usable at 26.1 s

  Scenario: An endpoint that writes its row again after a restore is used
    # Guards against an endpoint that stays unused because it was removed once.
    Given a registry with the endpoints "a, b, c"
    When the row of "b" is removed at 20.0 s
    And the store is restored at 21.0 s and lists "a, b, c"
    And the row of "b" is written again
    Then "a, b, c" are usable at 21.5 s

  Scenario: An endpoint that started again under its id is used after a restore
    # Guards against taking another start for the one that left.
    Given a registry with the endpoints "a, b, c"
    When the row of "b" is removed at 20.0 s
    And the store is restored at 21.0 s with another start of "b" beside "a, c"
    Then "a, b, c" are usable at 21.5 s

  Scenario: Endpoints that registered since the copy are kept
    # Guards against refusing requests of a service whose endpoints are
    # missing from the copy until they write their rows again.
    Given a registry with the endpoints "a, b, c"
    When the store is restored at 21.0 s and lists "a"
    Then "a, b, c" are usable at 23.0 s
    And "a" are usable at 23.4 s

  Scenario: An endpoint that came back before a restore is used after it
    # Guards against a service without endpoints: a row that came back in a
    # whole table still counted as that of an endpoint that had left, and
    # entries reported this to each other without end.
    Given a registry with the endpoints "a, b"
    And the row of "a" expires and comes back in a whole table
    When the store is restored at 21.0 s and lists "a, b"
    Then "a, b" are usable at 21.1 s
    And no endpoint is reported as leaving

  Scenario Outline: An outage after a restore does not bring back an endpoint
    # Guards against an endpoint that left and gets requests again, as no row
    # can expire here while the store is away.
    Given a registry with the endpoints "a, b"
    And the row of "a" expires
    When the store is restored at 21.0 s and lists "a, b"
    And the store is away from 22.0 s until <until> s
    Then "b" are usable at 29.9 s
    And "b" are usable at <until> s
    And no endpoint is reported as leaving

    Examples:
      | until |
      | 30.0  |
      | 34.0  |

  Scenario: An endpoint whose row expired after the copy is used soon
    # Guards against an endpoint that is not used until its row changes: the
    # row that it writes again is the same as that of the copy.
    Given a registry with the endpoints "a, b"
    And the row of "a" expires
    When the store is restored at 21.0 s and lists "a, b"
    Then "b" are usable at 25.9 s
    And no endpoint is reported as leaving
    And "a, b" are usable at 26.1 s
    When the store is restored at 40.0 s and lists "a, b"
    Then "a, b" are usable at 40.1 s

  Scenario: Rows with lower versions apply after a restore
    # Guards against comparing row versions of two histories.
    Given a registry with the endpoints "a, b"
    When the store is restored at 21.0 s and lists "a, b"
    And "a" announces that it leaves at row version 1
    Then "b" are usable at 21.5 s

  Scenario: The configuration of an older copy is not installed
    # Guards against routes and keys that come back for a moment.
    Given an entry with configuration 7 of era 1
    When the first table of era 2 holds configuration 5
    Then configuration 7 is installed after 2 s

  Scenario: A configuration that was written again stays installed
    # Guards against a change notification and a new start for no change.
    Given an entry with configuration 7 of era 1
    When the first table of era 2 holds configuration 5
    And configuration 7 is written
    Then configuration 7 is installed and nothing changed

  Scenario Outline: A call that waited shows that nothing changed before
    # Guards against versions that are taken as unchanged although several
    # changes may have been pending when the call began.
    Given a follower that read "x=1" at version 50 of era 1
    When "x=2" is written <wait> s later at version 90, and the store takes <delay> s
    Then the follower knows "x=2" and <known> before version 90

    Examples:
      | wait | delay | known                |
      | 0.7  | 0     | that nothing changed |
      | 0.1  | 0     | no more              |
      | 0.1  | 0.24  | no more              |

  Scenario Outline: A lower version written before the first read of an era
    # Guards against a change that is taken for that of the copy, and against
    # going back to a configuration of the copy that was never read.
    Given an entry with configuration 5 of era 1
    And nothing changed in the table up to version 30
    And configuration 7 is read at row version 50
    When the first table of era 2 holds configuration 6 of row version <row>
    Then configuration <expected> is installed after 1 s

    Examples:
      | row | expected |
      | 20  | 6        |
      | 40  | 7        |

  Scenario Outline: The next configuration after a restore is installed
    # Guards against refusing a configuration for good because its version is
    # lower than one that was lost, or the same.
    Given an entry with configuration 7 of era 1
    When the first table of era 2 holds configuration 5
    And configuration <next> is written with other content
    Then configuration <next> is installed after <delay> s

    Examples:
      | next | delay |
      | 8    | 0     |
      | 7    | 0     |
      | 6    | 1     |

  Scenario: The copy's configuration is not installed by a second read
    # Guards against taking the rows of the copy as new ones because the whole
    # table is read again in the same era.
    Given an entry with configuration 7 of era 1
    When the first table of era 2 holds configuration 5
    And the whole table of era 2 is read once more
    Then configuration 7 is installed after 2 s

  Scenario: An entry that started before the return keeps its configuration
    # Guards against the copy's configuration at an entry that read its own in
    # the first table after its start.
    Given an entry that started in era 1 and read configuration 7
    When the first table of era 2 holds configuration 5
    Then configuration 7 is installed after 2 s

  Scenario: A configuration is installed that only a whole table shows
    # Guards against a lower version that is taken for that of the copy.
    Given an entry with configuration 7 of era 1
    When the first table of era 2 holds configuration 5
    And configuration 6 is written beyond the first table of era 2 and the whole table read
    Then configuration 6 is installed after 1 s

  Scenario: A configuration is installed after an era that went back
    # Guards against an entry that takes each later configuration as older.
    Given an entry with configuration 7 of era 3
    When the first table of era 2 holds configuration 5
    And configuration 8 is written
    Then configuration 8 is installed after 0 s

  Scenario: Lost configurations that are written again in order do not apply
    # Guards against an entry that goes back while an operator repeats them.
    Given an entry with configuration 7 of era 1
    When the first table of era 2 holds configuration 4
    And configuration 5 is written, 0.5 s later 6 and 0.5 s later 7
    Then configuration 7 was installed all the time

  Scenario: Lost configurations do not apply however late they are written
    # Guards against an entry that goes back because operators take seconds
    # between two lost configurations.
    Given an entry with configuration 5 of era 1
    And configuration 6 is read at row version 30
    And configuration 7 is read at row version 40
    When the first table of era 2 holds configuration 5
    And configuration 5 is written, 3 s later 6 and 3 s later 7
    Then configuration 7 was installed all the time

  Scenario: Lower versions that follow one another apply
    # Guards against a delay that begins again with each of them.
    Given an entry with configuration 100 of era 1
    When the first table of era 2 holds configuration 10
    And configuration 11 is written, 0.8 s later 12 and 0.8 s later 13
    Then configuration 12 and then 13 were installed

  Scenario: The copy of a second return is not installed
    # Guards against going back to a configuration that a lower version has
    # replaced after the first return.
    Given an entry with configuration 10 of era 1
    And configuration 12 is read at row version 50
    When the first table of era 2 holds configuration 10
    And configuration 5 is written with other content
    And 2 s pass
    And the first table of era 3 holds configuration 10 of row version 10
    And 2 s pass
    Then configuration 5 is installed after 0 s

  Scenario: An entry prefers the configuration of the later era
    # Guards against entries that give each other the configuration that a
    # lower one replaced.
    Then an entry at revision "1.7" reads from "e1" of "1.7, 2.6"
    And an entry at revision "2.6" reads from none of "1.7, 1.9"
    And an entry at revision "1.7" reads from "e0" of "2.7, 1.6"

  Scenario Outline: A roll-out goes on when its order is written again
    # Guards against a version that is moved to twice, and against a status
    # that is lost for good.
    Given a <state> roll-out whose order has row version 30 of era 1
    When the store is restored to era 2 and its order is <order>
    Then the roll-out is still <state> and its status is to be stored again

    Examples:
      | state       | order                            |
      | completed   | in the copy                      |
      | rolled back | in the copy                      |
      | running     | in the copy                      |
      | completed   | written again as row version 12  |
      | rolled back | written again as row version 12  |
      | running     | written again as row version 40  |
      | completed   | written before the first read    |

  Scenario: The same move is ordered again long after a restore
    # Guards against an order that is never carried out, because it is taken
    # for one that was lost and is written again.
    Given a rolled back roll-out whose order has row version 30 of era 1
    When the store is restored to era 2 and the same move is ordered 40 s later
    Then the roll-out has begun anew

  Scenario: Entries store the state of a roll-out one after the other
    # Guards against calls of all entries at the same moment after a return.
    Given a running roll-out whose order has row version 30 of era 1
    When an entry with five others before it sees a return of the store
    Then it is due to store the state 4 s later but not at once

  Scenario: The order before is not carried out again by an older copy
    # Guards against moving back to an earlier version.
    Given a completed roll-out whose order has row version 30 of era 1
    When the store is restored to era 2 and holds an earlier order
    Then the roll-out is still completed and its status is to be stored again

  Scenario: A new order after a restore is carried out
    # Guards against ignoring an order whose row version is lower than that of
    # an order which was lost.
    Given a completed roll-out whose order has row version 30 of era 1
    When the store is restored to era 2 and another version is ordered as row version 12
    Then the roll-out of the other version is running

  Scenario: A status that only an entry of the era before stored is not trusted
    # Guards against a lost status that no entry writes again.
    Given a completed roll-out whose order has row version 30 of era 1
    When the store is restored to era 2 and its order is in the copy
    And another entry reports a status that was stored in era 1
    Then the roll-out is still completed and its status is to be stored again
    When another entry reports a status that was stored in era 2
    Then no status is to be stored

  Scenario: Rows of the entry are written again after a restore
    # Guards against evidence and sessions that a later start does not find.
    Given an entry that writes evidence to the store
    When evidence is written in era 1
    And the store is restored to era 2
    Then the same evidence is written once more
