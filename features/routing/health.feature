Feature: Health of endpoints

  Background:
    Given a router with 12 endpoints in 3 failure domains

  Scenario: An idle connection makes an endpoint suspect and not ejected
    # Guards against ejecting an engine because one connection is broken.
    When a routing request at "e0" ends unresponsive
    Then endpoint "e0" is suspect
    And endpoint "e0" is due for a probe
    And endpoint "e0" gets no new work while others can take it
    When the probe of "e0" succeeds
    Then endpoint "e0" is healthy

  Scenario: A frozen engine is ejected once its probe gets no response
    # Guards against a frozen engine that looks idle and attracts all new
    # requests.
    When a routing request at "e0" ends unresponsive
    And the probe of "e0" gets no response
    Then endpoint "e0" is ejected

  Scenario: Two lost connections in a row eject for growing times
    # Guards against an unstable endpoint that returns to service at once
    # after each failure.
    When a routing request at "e0" ends disconnected
    And a routing request at "e0" ends disconnected
    Then endpoint "e0" is ejected
    And its failing probes are due after 1, 2, 4, 8, 16, 30, 30 seconds

  Scenario: A success between lost connections prevents an ejection
    # Guards against counting lost connections that are not consecutive.
    When a routing request at "e0" ends disconnected
    And a routing request at "e0" ends succeeded
    And a routing request at "e0" ends disconnected
    Then endpoint "e0" is suspect

  Scenario: A success of an older request does not end an ejection
    # Guards against a return to service without a probe on a fresh
    # connection.
    When a routing request at "e0" ends refused
    And a routing request at "e0" ends succeeded
    Then endpoint "e0" is refused

  Scenario: Immediate failures do not attract more requests
    # Guards against preferring an endpoint that has the least load because
    # it fails each request at once.
    When 5 routing requests at "e0" end failed
    Then endpoint "e0" is ejected

  Scenario: Suspicion alone ejects at most half of the endpoints
    # Guards against ejecting a complete service because of a fault in the
    # entry's own network.
    When every endpoint disconnects 2 routing requests
    Then 6 routing endpoints take new work
    But without the cap 0 routing endpoints take new work

  Scenario: Refused connections can eject all endpoints
    # Guards against sending requests to addresses where nothing listens.
    When every endpoint refuses a connection
    Then a routing request is refused with NO_ENDPOINT
    And all 12 routing endpoints are probed within 0.5 s
    When the probe of "e3" succeeds
    Then 1 routing endpoints take new work

  Scenario: Suspicion never ejects the last endpoint that may be alive
    # Guards against NO_ENDPOINT while a suspected endpoint could serve.
    When endpoints "e0, e1, e2, e3, e4, e5" each disconnect 2 routing requests
    And endpoints "e6, e7, e8, e9, e10, e11" refuse a connection
    Then 3 routing endpoints take new work

  Scenario Outline: A report of leaving stops new work at once
    # Guards against new work at a leaving endpoint that the lagging list
    # still reports as live.
    When endpoint "e0" is found leaving by <source>
    And the lagging routing list still marks all endpoints as live
    Then endpoint "e0" gets no new work

    Examples:
      | source      |
      | load report |
      | refusal     |

  Scenario: An endpoint that the list marks as leaving gets no new work
    # Guards against ignoring the platform's list for endpoints that send no
    # load reports.
    When the routing list marks "e0" as leaving
    Then endpoint "e0" gets no new work

  Scenario: A later live report ends the leaving state
    # Guards against an endpoint that stays excluded after a restart.
    When endpoint "e0" is found leaving by refusal
    And endpoint "e0" reports live 1 s later
    Then endpoint "e0" gets no new work
    When endpoint "e0" reports live 5 s later
    Then 12 routing endpoints take new work
