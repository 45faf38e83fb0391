Feature: Limits of endpoints, as entries report them

  Scenario: A limit is used by entries that have not got it themselves
    # Guards against entries that send what they like until the endpoint has
    # answered each of them.
    Given entries "A, B" that know endpoint "e"
    When "e" states a limit of 4 to "A" at 10.0 s
    And the entries exchange limits at 10.1 s
    Then "B" knows a limit of 4 at "e"

  Scenario: A newer answer decides, whichever entry got it
    # Guards against an old report that outlives a newer one.
    Given entries "A, B, C" that know endpoint "e"
    When "e" states a limit of 4 to "A" at 10.0 s
    And "e" states a limit of 2 to "B" at 11.0 s
    And the entries exchange limits at 11.1 s
    Then "A" knows a limit of 2 at "e"
    And "C" knows a limit of 2 at "e"

  Scenario: The end of a limit is known to all entries
    # Guards against a limit that ends only where the endpoint is still used.
    Given entries "A, B, C" that know endpoint "e"
    When "e" states a limit of 4 to "A" at 10.0 s
    And the entries exchange limits at 10.1 s
    And "e" states no limit to "B" at 12.0 s
    And the entries exchange limits at 12.1 s
    Then "A" knows no limit at "e"
    And "C" knows no limit at "e"

  Scenario: A report that was ended is not repeated
    # Guards against an entry that keeps reporting what another one has
    # replaced, so that entries that start later take it for the newest.
    Given entries "A, B, C" that know endpoint "e"
    When "e" states a limit of 4 to "A" at 10.0 s
    And "e" states no limit to "B" at 12.0 s
    And the entries exchange limits at 12.1 s
    And the entries exchange limits at 12.4 s
    And "C" starts again
    And the entries exchange limits at 40.0 s
    Then "C" knows no limit at "e"

  Scenario: An entry that starts later learns of the limit
    # Guards against a restarted entry that uses the endpoint without limit.
    Given entries "A, B" that know endpoint "e"
    When "e" states a limit of 4 to "A" at 10.0 s
    And "B" starts again
    And the entries exchange limits at 60.0 s
    Then "B" knows a limit of 4 at "e"

  Scenario: A limit ends with the start of its endpoint
    # Guards against limiting an endpoint for what its predecessor stated.
    Given entries "A, B" that know endpoint "e"
    When "e" states a limit of 4 to "A" at 10.0 s
    And the entries exchange limits at 10.1 s
    And "e" starts again
    Then "A" knows no limit at "e"
    And "B" knows no limit at "e"

  Scenario: A report about an earlier start does not replace a newer one
    # Guards against a late report after a restart under the same id.
    Given entries "A, B" that know endpoint "e"
    When "e" states no limit to "A" at 9.0 s
    And "A" prepares a report after "e" stated a limit of 4 at 10.0 s
    And "e" starts again
    And "e" states a limit of 2 to "B" at 10.5 s
    And "B" gets the prepared report at 11.0 s
    Then "B" knows a limit of 2 at "e"

  Scenario: After a freeze the last report of an entry counts
    # Guards against reports that waited in the socket of a frozen entry and
    # look as if they had just been sent.
    Given entries "A, B" that know endpoint "e"
    When "A" prepares a report after "e" stated a limit of 4 at 10.0 s
    And "e" states no limit to "A" at 12.0 s
    And "B" gets the prepared report at 15.0 s
    And the entries exchange limits at 15.01 s
    Then "B" knows no limit at "e"

  Scenario: The limits of endpoints that are gone are dropped
    # Guards against memory that grows with the number of endpoints ever
    # seen.
    Given entries "A" that know endpoint "e"
    When "e" states a limit of 4 to "A" at 10.0 s
    And "e" is removed
    Then "A" has no limits left

  Scenario: Reports stay small beside many limited endpoints
    # Guards against heartbeats that no longer fit into a datagram.
    Given entries "A" that know endpoint "e"
    When 500 endpoints state limits to "A"
    Then the report of "A" has at most 300 bytes
