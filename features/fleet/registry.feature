Feature: Registry of endpoints during outages of the store

  Scenario: An endpoint whose row expired in an outage stays usable
    # Guards against refusing every request of a service whose rows expired
    # while the store was unavailable.
    Given a registry with the endpoints "a, b"
    When the store is unavailable and returns at 10.0 s
    And the row of "a" is removed at 10.1 s
    Then "a, b" are usable at 11.9 s
    When the row of "a" is written again
    Then "a, b" are usable at 13.0 s

  Scenario: A single endpoint whose row is gone is not used after an outage
    # Guards against requests to an endpoint that left while only this entry
    # had lost the store: rows expire in an outage of the store itself, and
    # then those of most endpoints are missing.
    Given a registry with the endpoints "a, b, c"
    When the store is unavailable and returns at 10.0 s
    And the row of "a" is removed at 10.1 s
    Then "b, c" are usable at 10.1 s
    When the row of "b" is removed at 10.2 s
    Then "a, b, c" are usable at 10.2 s
    When the row of "b" is written again
    Then "b, c" are usable at 10.3 s

  Scenario: An endpoint whose row is not written again is removed
    # Guards against sending to endpoints that ended during an outage.
    Given a registry with the endpoints "a, b"
    When the store is unavailable and returns at 10.0 s
    And the row of "a" is removed at 10.1 s
    Then "b" are usable at 12.4 s

  Scenario: A row with the address of a live endpoint does not replace it
    # Guards against a live endpoint that stays unused because another writer
    # left a row with its address.
    Given a registry with the endpoints "a, b"
    When the row of "x" is written with the address of "a"
    And "x" turns out to be replaced
    Then "b, a" are usable at 2.0 s

  Scenario: A row that is removed does not replace an endpoint any more
    # Guards against an endpoint that stays unused after the odd row is gone.
    Given a registry with the endpoints "a, b"
    When the row of "x" is written with the address of "a"
    And the row of "x" is removed at 20.0 s
    Then "b, a" are usable at 20.0 s

  Scenario: A row of an unknown service does not replace an endpoint
    # Guards against one odd row that makes a live endpoint unusable.
    Given a registry with the endpoints "a, b" in which only their service is known
    When the row of "x" of another service is written with the address of "a"
    Then "a, b" are usable at 2.0 s

  Scenario: Without an outage a removal applies at once
    # Guards against requests to endpoints that have ended.
    Given a registry with the endpoints "a, b"
    When the row of "a" is removed at 20.0 s
    Then "b" are usable at 20.0 s

  Scenario: An endpoint that left before a start is not used
    # Guards against a restarted entry that keeps an endpoint which another
    # entry still listed, although the store answers and does not list it.
    Given a registry that started with "a, b" from another entry
    When the store answers for the first time at 10.0 s and lists "a"
    Then "a" are usable at 10.0 s

  Scenario: A report of one endpoint does not hide the list of an entry
    # Guards against refusing every request of a service: an entry that starts
    # in an outage may hear of a restarted endpoint before it reads the list
    # of all endpoints from another entry.
    Given an empty registry
    When "c" is reported as restarted
    And another entry lists "a, b"
    Then "a, b, c" are usable at 1.0 s
    When another entry lists "d"
    Then "a, b, c" are usable at 1.0 s

  Scenario: A start during an outage trusts no removal at once
    # Guards against refusing requests when an entry starts in an outage in
    # which rows expired.
    Given a registry that started with "a, b" from another entry
    When the store fails first, then answers at 10.0 s and lists "a"
    Then "a, b" are usable at 10.0 s
    And "a" are usable at 12.4 s

  Scenario: An endpoint that another entry reports as leaving is not used
    # Guards against requests to leaving endpoints by an entry that the store
    # rejects or answers late.
    Given a registry with the endpoints "a, b"
    When another entry reports that the first start of "a" leaves
    Then "b" are usable at 1.0 s
    When the row of "a" has a later start
    Then "a, b" are usable at 1.0 s
    When another entry reports that the first start of "a" leaves
    Then "a, b" are usable at 1.0 s

  Scenario: An endpoint that states in an answer that it leaves is not used
    # Guards against requests to leaving endpoints by an entry that can't read
    # their rows, and by one whose endpoints still write theirs.
    Given a registry with the endpoints "a, b"
    When "a" states in an answer that it leaves at 1.0 s
    Then "b" are usable at 1.0 s
    And "a" are reported as leaving
    When the row of "a" is written again
    Then "b" are usable at 2.0 s
    When the row of "a" has a later start
    Then "a, b" are usable at 2.0 s

  Scenario: A late answer of an earlier start does not count
    # Guards against avoiding an endpoint that started again under its id.
    Given a registry with the endpoints "a, b"
    When the row of "a" has a later start
    And the first start of "a" states in an answer that it leaves at 1.0 s
    Then "a, b" are usable at 1.0 s

  Scenario: A restarted endpoint that stated it is not used once it is listed
    # Guards against forgetting a statement as the row tells the start.
    Given a registry with the endpoints "a, b"
    When "c" is added at the address of "a" during an outage
    And "c" states in an answer that it leaves at 1.0 s
    And the row of "c" is written again
    Then "b" are usable at 2.0 s

  Scenario: An endpoint that took the address of one that left is used
    # Guards against a service that loses an address for ever.
    Given a registry with the endpoints "a, b"
    When "a" states in an answer that it leaves at 1.0 s
    And "c" is added at the address of "a" during an outage
    Then "b, c" are usable at 2.0 s

  Scenario: An endpoint is asked again whether it leaves
    # Guards against avoiding an endpoint for ever because of one answer, and
    # against asking an endpoint all the time.
    Given a registry with the endpoints "a, b"
    When "a" states in an answer that it leaves at 1.0 s
    Then "none" are to be asked again at 10.9 s
    And "a" are to be asked again at 11.0 s
    And "none" are to be asked again at 20.9 s
    When "a" is healthy and does not leave
    Then "a, b" are usable at 21.0 s
    And "none" are to be asked again at 40.0 s

  Scenario: A row that is read later outweighs a report of leaving
    # Guards against avoiding an endpoint for ever because of a wrong report.
    Given a registry with the endpoints "a, b"
    When another entry reports that the first start of "a" leaves
    And the row of "a" is written again
    Then "a, b" are usable at 1.0 s

  Scenario: Only announcements that were read are reported to other entries
    # Guards against reports that entries repeat to one another for ever.
    Given a registry with the endpoints "a, b"
    When another entry reports that the first start of "a" leaves
    And the row of "b" is marked as leaving
    Then "b" are reported as leaving

  Scenario: A replaced endpoint is not usable
    # Guards against repeated attempts at every endpoint of a restarted
    # failure domain, which exhaust the retry budget.
    Given a registry with the endpoints "a, b"
    When another endpoint answers at the address of "a"
    Then "b" are usable at 1.0 s
    When the row of "a" has a later start
    Then "a, b" are usable at 1.0 s

  Scenario: A report of a replacement applies to one incarnation only
    # Guards against avoiding an endpoint forever that restarted under its
    # id.
    Given a registry with the endpoints "a, b"
    When the row of "a" has a later start
    And another entry reports that the first start of "a" was replaced
    Then "a, b" are usable at 1.0 s

  Scenario: A provisional endpoint is removed unless the store lists it
    # Guards against keeping an endpoint forever that the store never lists.
    Given a registry with the endpoints "a, b"
    When "c" is added at the address of "a" during an outage
    Then "b, c" are usable at 1.0 s
    When the store is unavailable and returns at 10.0 s
    Then "b" are usable at 12.4 s

  Scenario: A provisional endpoint stays once the store lists it
    # Guards against removing it for a moment when the store returns.
    Given a registry with the endpoints "a, b"
    When "c" is added at the address of "a" during an outage
    And the store is unavailable and returns at 10.0 s
    And the row of "c" is written again
    Then "b, c" are usable at 12.4 s

  Scenario: No provisional endpoint is added while the store answers
    # Guards against using endpoints that the store has removed.
    Given a registry with the endpoints "a, b"
    When "c" is added at the address of "a" while the store answers
    Then "a, b" are usable at 1.0 s

  Scenario: An older row does not overwrite a newer one
    # Guards against stale reads.
    Given a registry with the endpoints "a, b"
    When the row of "a" is marked as leaving
    And an older row of "a" arrives
    Then "b" are usable at 1.0 s

  Scenario: An endpoint that a copy lists twice is not used
    # Guards against taking the second read of a copy for a new row.
    Given a registry with the endpoints "a, b, c"
    When the row of "b" is removed at 20.0 s
    And the store is restored at 21.0 s and lists "a, b, c"
    And the whole table is read at 22.0 s and lists "a, b, c"
    Then "a, c" are usable at 22.5 s
    When the store is restored at 23.0 s and lists "a, b, c"
    Then "a, c" are usable at 23.5 s

  Scenario Outline: A late row does not bring an endpoint back that leaves
    # Guards against calls that are lost with an endpoint: the store did the
    # last write of its row after it had stated that it leaves.
    Given a registry with the endpoints "a, b"
    When "a" <leaves>
    And the row of "a" <changes>
    And the row of "a" is the one from before it left
    Then "b" are usable at 2.0 s
    And "none" are to be asked again at 3.0 s
    And "a" are to be asked again at 13.0 s
    When "a" is healthy and does not leave
    Then "a, b" are usable at 13.1 s

    Examples:
      | leaves                                  | changes             |
      | states in an answer that it leaves at 1.0 s | is removed at 1.5 s |
      | is reported to leave                    | is removed at 1.5 s |
      | announces that it leaves                | is removed at 1.5 s |
      | announces that it leaves                | does not change     |

  Scenario Outline: What earlier rows and other entries told is not reported
    # Guards against entries that report a sound endpoint to each other without
    # end, after each has found it sound.
    Given a registry with the endpoints "a, b"
    When "a" <leaves>
    And the row of "a" is removed at 1.5 s
    And the row of "a" is the one from before it left
    Then "b" are usable at 2.0 s
    And "<reported>" are reported as leaving

    Examples:
      | leaves                                      | reported |
      | states in an answer that it leaves at 1.0 s | a        |
      | is reported to leave                        | none     |
      | announces that it leaves                    | none     |

  Scenario: An answer that comes after the removal of its endpoint counts
    # Guards against forgetting what an endpoint stated as its row was gone.
    Given a registry with the endpoints "a, b"
    When the row of "a" is removed at 1.0 s
    And the first start of "a" states in an answer that it leaves at 1.1 s
    And the row of "a" is written again
    Then "b" are usable at 2.0 s

  Scenario Outline: A restarted endpoint is used although it left before
    # Guards against avoiding an endpoint for what its earlier start stated.
    Given a registry with the endpoints "a, b"
    When "a" <leaves>
    And the row of "a" is removed at 1.5 s
    And the row of "a" has a later start
    Then "a, b" are usable at 2.0 s

    Examples:
      | leaves                                  |
      | states in an answer that it leaves at 1.0 s |
      | announces that it leaves                |

  Scenario: An endpoint whose row expired is used when it is back
    # Guards against avoiding an endpoint that did not reach the store.
    Given a registry with the endpoints "a, b"
    When the row of "a" is removed at 1.0 s
    And the row of "a" is written again
    Then "a, b" are usable at 2.0 s
