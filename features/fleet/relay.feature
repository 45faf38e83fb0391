Feature: Tables of the store pass through a few entries of a large fleet

  Scenario: One entry of each failure domain asks the store
    # Replays a fleet of 58 entries that each read each change: 3,742 calls
    # on a quiet day.
    Given 40 live entries in the failure domains "a, b, c, d"
    Then 4 of them ask the store and the others one of their own domain

  Scenario: Every entry of a small fleet asks the store
    # Guards against a detour that saves nothing.
    Given 9 live entries in the failure domains "a, b, c"
    Then 9 of them ask the store and the others one of their own domain

  Scenario: An entry whose source fails asks another one, then the store
    # Guards against an entry that trusts a frozen one.
    Given 40 live entries in the failure domains "a, b, c, d"
    When all sources of the entry "a-9" fail one after the other
    Then "a-9" asked one of each failure domain and then the store

  Scenario: Changes are passed on in order, removals too
    # Guards against endpoints that stay after they left.
    Given a relay that read "x=1, y=2" at version 10
    When it takes "x=3" and the removal of "y" at version 12
    Then a reader at version 10 gets "x=3, y gone"
    And a reader at version 12 gets ""
    And a reader without a version gets "x=3"

  Scenario: A reader that lacks too much reads the table anew
    # Guards against removals that are never heard of.
    Given a relay that read "x=1, y=2" at version 10
    Then a reader at version 7 must read the table anew

  Scenario: What the store has not confirmed lately is not waited for
    # Guards against waiting at an entry that lost the store.
    Given a relay that read "x=1" at version 10
    When its store is silent for 2 s
    Then a reader at version 10 gets an answer at once that tells its age

  Scenario: A follower changes its source without losing a change
    # Guards against a change that falls between two sources.
    Given a follower whose first source stops after version 11
    Then it has taken the versions 10 to 14 once each

  Scenario: Removals after an outage that only another entry saw
    # Guards against taking lapsed rows as gone: the store was away for a
    # moment, and the endpoints are back within 2 s.
    Given a registry that never saw an outage
    When another entry tells that removals are not trusted for 2 s
    And the row of an endpoint is removed
    Then the endpoint is still used
