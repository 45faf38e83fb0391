Feature: A few entries of a large fleet relay the tables of the store

  Scenario: One entry of each failure domain reads the store
    # Each of 58 entries that read every change themselves makes 3,742 calls
    # on a day with little traffic.
    Given 40 live entries in the failure domains "a, b, c, d"
    Then 4 of them read the store and the others one of their own domain

  Scenario: Every entry of a small fleet reads the store
    # Guards against relaying that saves no calls.
    Given 9 live entries in the failure domains "a, b, c"
    Then 9 of them read the store and the others one of their own domain

  Scenario: A few entries of a small fleet wait shortly for configurations
    # Guards against a wait that outlasts the time limit of a configuration,
    # and against the calls that short waits of all entries would cost.
    Given 9 live entries in the failure domains "a, b, c"
    Then 3 of them wait at most 1 s for configurations and the others 8 s

  Scenario: After a failed source another entry is used, then the store
    # Guards against an entry that keeps reading from an unresponsive one.
    Given 40 live entries in the failure domains "a, b, c, d"
    When all sources of the entry "a-9" fail one after the other
    Then "a-9" read from one of each failure domain and then the store

  Scenario: Changes and removals are relayed in order
    # Guards against endpoints that stay listed after their removal.
    Given a relay that read "x=1, y=2" at version 10
    When it receives "x=3" and the removal of "y" at version 12
    Then a reader at version 10 gets "x=3, y removed"
    And a reader at version 12 gets ""
    And a reader without a version gets "x=3"

  Scenario: A reader behind the change history reads the whole table again
    # Guards against removals that never reach a reader.
    Given a relay that read "x=1, y=2" at version 10
    Then a reader at version 7 must read the whole table again

  Scenario: A table that was not read yet is not relayed
    # Guards against an error in the middle of an answer: an entry that
    # started in an outage has no time at which the store confirmed its rows.
    Given a relay that has read nothing
    Then readers with and without a version get status 503

  Scenario: A reader does not wait for changes of a stale table
    # Guards against waiting at an entry that cannot reach the store.
    Given a relay that read "x=1" at version 10
    When its store does not answer for 2 s
    Then a reader at version 10 gets an answer at once that shows its age

  Scenario: A follower switches its source without missing a change
    # Guards against a change that neither of two sources delivers.
    Given a follower whose first source stops after version 11
    Then it has applied the versions 10 to 14 once each

  Scenario: A follower learns at once that the store is back
    # Guards against counting the first change after an outage as its end:
    # the removal in that change would not be trusted, and an endpoint that
    # left would receive requests for 2.3 s more.
    Given a follower whose store fails once
    Then its next call does not wait for changes and the one after it does

  Scenario: Removals after an outage that only another entry saw
    # Guards against removing endpoints whose rows expired: the store was
    # unavailable for a moment, and the rows are written again within 2 s.
    Given a registry that never saw an outage
    When another entry reports that removals are not trusted for 2 s
    And the row of an endpoint is removed
    Then the endpoint is still used
