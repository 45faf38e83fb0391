Feature: Choice of an endpoint

  Scenario: The choice agrees with a reference implementation
    # Guards against an optimisation that changes which endpoint is chosen.
    Then choose agrees with its reference implementation on generated views

  Scenario: The subset agrees with a reference implementation and is stable
    # Guards against a subset that changes when an endpoint outside it is
    # removed.
    Then subset agrees with its reference implementation on generated endpoints
    And removing an endpoint changes at most two members of a subset

  Scenario: Own outstanding work counts before reported load
    # Guards against sending all requests to one endpoint until its next load
    # report.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-1   |
    When endpoint "a" reports a load of 0
    And endpoint "b" reports a load of 9
    Then 4 routing requests go to "a, b, a, b"

  Scenario: Reported load breaks ties
    # Guards against sending work to an engine that is busy with requests of
    # other entries.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-1   |
    When endpoint "a" reports a load of 9
    And endpoint "b" reports a load of 1
    Then 1 routing requests go to "b"

  Scenario: Entries do not all follow one lagging load report
    # Guards against all entries sending to the same idle endpoint until
    # its next load report.
    When 40 routers with 12 endpoints receive reports that only "e0" is idle
    Then at most 20 of their next routing requests go to "e0"
    But comparing all endpoints would send 40 of them to "e0"

  Scenario: A far endpoint is used when the near one has two requests more
    # Guards against requests that queue at a near endpoint while far
    # endpoints are idle.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-2   |
    Then 4 routing requests go to "a, a, b, a"

  Scenario: The endpoint with the cached prefix may have two requests more
    # Guards against prefix affinity that overloads one engine.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-1   |
    Then 4 routing requests with one prefix use one endpoint 3 times first

  Scenario: An endpoint that was already tried is not chosen again
    # Guards against a retry at the endpoint that has just failed.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-2   |
    Then a routing request that tried "a" goes to "b"
    And a routing request that tried "a, b" is refused with NO_ENDPOINT

  Scenario: An unlisted endpoint keeps its count of requests in flight
    # Guards against losing the count of outstanding requests while the
    # lagging list briefly omits their endpoint.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-1   |
    When 2 routing requests are in flight
    And the routing list shrinks to "b" and then names "a, b" again
    Then endpoint "a" has 1 routing requests in flight
