Feature: Choice of an endpoint

  Scenario: The choice agrees with a plain re-statement of its rules
    # Guards against an optimisation that changes the order of choice.
    Then choose agrees with its plain re-statement on generated views

  Scenario: The subset agrees with a plain re-statement and changes little
    # Guards against a subset that moves when an unused endpoint goes.
    Then subset agrees with its plain re-statement on generated endpoints
    And removing an endpoint changes at most two members of a subset

  Scenario: Own outstanding work counts before reported load
    # Guards against herding on a lagging load report.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-1   |
    When endpoint "a" reports a load of 0
    And endpoint "b" reports a load of 9
    Then 4 routing requests go to "a, b, a, b"

  Scenario: Reported load breaks ties
    # Guards against sending work to an engine that others keep busy.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-1   |
    When endpoint "a" reports a load of 9
    And endpoint "b" reports a load of 1
    Then 1 routing requests go to "b"

  Scenario: Entries do not all follow one lagging load report
    # Guards against all entries sending to the same idle endpoint until
    # its next report.
    When 40 routers with 12 endpoints learn that "e0" alone is idle
    Then at most 20 of their next routing requests go to "e0"
    But comparing all endpoints would send 40 of them to "e0"

  Scenario: The near failure domain is left when it is two requests behind
    # Guards against a near endpoint that queues while far ones are idle.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-2   |
    Then 4 routing requests go to "a, a, b, a"

  Scenario: The holder of a prefix is used up to two requests more
    # Guards against an affinity that overloads one engine.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-1   |
    Then 4 routing requests with one prefix use one endpoint 3 times first

  Scenario: A tried endpoint is left out
    # Guards against a retry at the endpoint that just failed.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-2   |
    Then a routing request that tried "a" goes to "b"
    And a routing request that tried "a, b" is refused with NO_ENDPOINT

  Scenario: An unlisted endpoint keeps its count of requests in flight
    # Guards against a lagging list that resets outstanding work.
    Given a router near "fd-1" with endpoints
      | endpoint | domain |
      | a        | fd-1   |
      | b        | fd-1   |
    When 2 routing requests are in flight
    And the routing list shrinks to "b" and then names "a, b" again
    Then endpoint "a" has 1 routing requests in flight
