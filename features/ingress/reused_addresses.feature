Feature: Addresses that are used again while the store is down

  Scenario: A restarted endpoint is used before the store returns
    # Guards against a service that loses the endpoints of a crash for as long
    # as the store is down, although they are back.
    Given a fleet with 2 entries, 2 model endpoints and 0 plain endpoint
    And all entries run summaries
    When the store goes down, and "m0" crashes and is back at once as "m9"
    Then "m9" runs summaries before the store returns

  Scenario Outline: An entry that was held up does not use another service's endpoint
    # Guards against summaries that run at an endpoint of another service: an
    # entry reads the last events of a crashed endpoint seconds after they
    # arrived, and finds the next user of the address.
    Given a fleet with 2 entries, 2 model endpoints and 1 plain endpoint
    And all entries run summaries
    When "entry-0" is frozen for <frozen_s> s, "m0" crashes 0.3 s later, the store goes down, and "p9" uses the address <reused_s> s after the crash
    Then "p9" runs no summary before the store returns

    Examples:
      | frozen_s | reused_s |
      | 3.5      | 2.2      |
      | 5.0      | 3.0      |
