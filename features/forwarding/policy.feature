Feature: Decision after an attempt of a plain call

  Scenario: A call is refused as not run only if no attempt may have run
    # A caller that is told "not run" repeats a call that ran.
    Then no generated history ends refused after an attempt that may have run

  Scenario: A non-repeatable call is not retried once it may have run
    # A retry would run a booking a second time.
    Then no generated history retries a non-repeatable call that may have run

  Scenario: No call runs on more endpoints than its route allows
    # Retries must stay within the limit of the route.
    Then no generated history exceeds the endpoints of its route

  Scenario: A lookup that fails once in seven is retried
    # Endpoints answer 500 to every seventh lookup.
    When 2000 lookups meet endpoints that fail 14 in 100
    Then at most 3 in 100 lookups fail
    But a policy without retries fails at least 12 in 100
