Feature: Limits that endpoints state, kept by all entries together

  Scenario: Entries together keep to the limit that an endpoint states
    # Guards against an endpoint in need that gets as many requests as the
    # others, and against a limit that each entry uses for itself.
    Given a fleet with 3 entries, 1 model endpoints and 2 plain endpoint
    When "p0" states a limit of "2"
    And callers send 40 complaints/s for 6 s
    Then "p0" got at most 17 requests in any 4 s
    And all complaints were answered by an endpoint

  Scenario: Complaints that no endpoint may take are refused at once
    # Guards against callers that wait for a limit, and against callers that
    # are not told when to return or return all at once.
    Given a fleet with 3 entries, 1 model endpoints and 2 plain endpoint
    When "p0" states a limit of "2"
    And "p1" states a limit of "2"
    And callers send 40 complaints/s for 6 s
    Then "p0" got at most 17 requests in any 4 s
    And "p1" got at most 17 requests in any 4 s
    And "p0, p1" got at least 12 requests in the last 4 s
    And the other complaints were refused within 500 ms as not run
    And their Retry-After differs

  Scenario: An endpoint is used again when it states no limit any more
    # Guards against a limit that never ends, as an endpoint that gets no
    # request cannot tell.
    Given a fleet with 3 entries, 1 model endpoints and 2 plain endpoint
    When "p0" states a limit of "2"
    And callers send 20 complaints/s for 2 s
    And "p0" states no limit
    And callers send 20 complaints/s for 5 s
    Then "p0" got at least 25 requests in the last 4 s

  Scenario Outline: The limit holds while entries are stopped and started
    # Guards against requests beyond a limit while it is not clear which
    # entries there are.
    Given a fleet with 3 entries, 1 model endpoints and 2 plain endpoint
    When "p0" states a limit of "2"
    And callers send 40 complaints/s for 9 s while an entry is <event>
    Then "p0" got at most 17 requests in any 4 s

    Examples:
      | event              |
      | killed and started |
      | frozen for 3 s     |
      | asked to stop      |
