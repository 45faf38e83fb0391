Feature: Planned stops, broken answers and restarts of entry processes

  Scenario: Requests in the accept queue at the stop signal are answered
    # Guards against connections that the kernel accepted and the entry closes
    # without reading them.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When 8 new and 4 kept connections send complaints to a frozen entry
    And the entry is asked to stop and continues
    Then all 12 complaints are answered with status 200

  Scenario: Requests that arrive as the drain ends are answered
    # Guards against a request that is read just before the process ends and
    # whose connection is closed without an answer.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When the entry is asked to stop and freezes 3.3 s later
    And 8 new and 4 kept connections send complaints to a frozen entry
    And the frozen entry continues after 0.6 s
    Then all 12 complaints are answered with status 200 or refused as not run

  Scenario: Calls under load are not interrupted by a planned stop
    # Guards against answers that are lost while callers keep sending.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    When 12 callers send complaints while an entry is asked to stop
    Then each complaint was answered or refused as not run
    And the entry ended with code 0 within 8 s

  Scenario: A step of the wall clock does not move the end of a drain
    # Guards against requests that are refused too early, or accepted until
    # the process is killed, as the time of day may jump during a drain.
    Given a handler that drains for 300 ms
    Then it accepts calls although the clock is set forward 3600 s
    When 350 ms pass
    Then it refuses calls although the clock is set back 3600 s

  Scenario: A caller of HTTP/1.0 gets a complete summary
    # Guards against an error in place of an answer that has no chunks.
    Given a fleet with 1 entries, 2 model endpoints and 1 plain endpoint
    When a caller of HTTP/1.0 asks for a summary
    Then its connection ends normally after the complete summary

  Scenario: A caller of HTTP/1.0 sees that its summary broke off
    # Guards against half of an answer that looks complete, as it ends with
    # its connection.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When a caller of HTTP/1.0 asks for a summary whose endpoint is killed
    Then its connection is reset before the complete summary

  Scenario: A caller that asks to close sees that its summary broke off
    # Guards against a last chunk after half of an answer.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When a closing caller asks for a summary whose endpoint is killed
    Then its connection is reset before the complete summary

  Scenario: A removed key stays removed after a restart in a store outage
    # Guards against a configuration of an entry that lags behind, which would
    # make a withdrawn key valid again.
    Given a fleet with 3 entries, 1 model endpoints and 1 plain endpoint
    When the operator removes the key but "entry-1" is frozen
    And the store fails, "entry-1" continues and "entry-2" restarts
    Then "entry-2" refuses the key from its first answer on for 1 s

  Scenario: An endpoint that left is not used after a restart
    # Guards against a restarted entry that sends to an endpoint which is no
    # longer listed.
    Given a fleet with 2 entries, 1 model endpoints and 2 plain endpoint
    When "p1" is removed while "entry-1" restarts
    Then 20 complaints at "entry-1" go to "p0" only
