Feature: Health of endpoints

  Background:
    Given a router with 12 endpoints in 3 failure domains

  Scenario: A silent connection makes an endpoint suspect and not ejected
    # Guards against ejecting an engine for one dead connection.
    When a routing request at "e0" ends unresponsive
    Then endpoint "e0" is suspect
    And endpoint "e0" is due for a probe
    And endpoint "e0" gets no new work while others can take it
    When the probe of "e0" succeeds
    Then endpoint "e0" is healthy

  Scenario: A frozen engine is ejected once its probe stays silent too
    # Guards against an idle frozen engine that draws all new requests.
    When a routing request at "e0" ends unresponsive
    And the probe of "e0" gets no response
    Then endpoint "e0" is ejected

  Scenario: Two losses in a row eject, with growing time
    # Guards against an endpoint that flaps back at once each time.
    When a routing request at "e0" ends lost
    And a routing request at "e0" ends lost
    Then endpoint "e0" is ejected
    And its failing probes come after 1, 2, 4, 8, 16, 30, 30 seconds

  Scenario: A success between losses keeps an endpoint in service
    # Guards against counting losses that are not consecutive.
    When a routing request at "e0" ends lost
    And a routing request at "e0" ends succeeded
    And a routing request at "e0" ends lost
    Then endpoint "e0" is suspect

  Scenario: A success of an older request does not end an ejection
    # Guards against return without a probe on a fresh connection.
    When a routing request at "e0" ends refused
    And a routing request at "e0" ends succeeded
    Then endpoint "e0" is refused

  Scenario: Failures at once do not make an endpoint attractive
    # Guards against the least loaded endpoint being the one that fails.
    When 5 routing requests at "e0" end failed
    Then endpoint "e0" is ejected

  Scenario: Suspicion alone ejects at most half of the endpoints
    # Guards against a fault of the entry's own network emptying a service.
    When every endpoint loses 2 routing requests
    Then 6 routing endpoints take new work
    But with the cap left out 0 routing endpoints take new work

  Scenario: Refused connections are certain and eject all
    # Guards against sending work where nothing listens.
    When every endpoint refuses a connection
    Then a routing request is refused with NO_ENDPOINT
    And all 12 routing endpoints are probed within 0.5 s
    When the probe of "e3" succeeds
    Then 1 routing endpoints take new work

  Scenario: Suspicion never takes the last endpoint that may be alive
    # Guards against NO_ENDPOINT while a suspected endpoint could serve.
    When endpoints "e0, e1, e2, e3, e4, e5" each lose 2 routing requests
    And endpoints "e6, e7, e8, e9, e10, e11" refuse a connection
    Then 3 routing endpoints take new work

  Scenario Outline: A leaving sign stops new work at once
    # Guards against new work at a leaving endpoint while the list lags.
    When endpoint "e0" is found leaving by <source>
    And the lagging routing list still calls all endpoints live
    Then endpoint "e0" gets no new work

    Examples:
      | source      |
      | load report |
      | refusal     |

  Scenario: The list's leaving mark stops new work
    # Guards against ignoring the platform for endpoints without reports.
    When the routing list calls "e0" leaving
    Then endpoint "e0" gets no new work

  Scenario: A later live report ends the leaving state
    # Guards against an endpoint that is lost for ever after a restart.
    When endpoint "e0" is found leaving by refusal
    And endpoint "e0" reports live 1 s later
    Then endpoint "e0" gets no new work
    When endpoint "e0" reports live 5 s later
    Then 12 routing endpoints take new work
