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

  Scenario Outline: Bytes that a cut held up do not show that their endpoint lived
    # Guards against summaries that run at an endpoint of another service: a
    # cut holds up the last events of an endpoint until the next one has its
    # address, so that they arrive seconds after its end.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    And all entries run summaries at "m0", whose link can be cut
    When the store goes down, the link is cut, "m0" is killed <killed_s> s later, "p9" uses its address <reused_s> s after that, and the link is whole <whole_s> s after that
    Then "p9" runs no summary before the store returns

    Examples:
      | killed_s | reused_s | whole_s |
      | 0.3      | 2.1      | 0.4     |
      | 0.1      | 2.1      | 0.1     |
