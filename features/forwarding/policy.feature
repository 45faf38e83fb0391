Feature: What follows a send of a plain call

  Scenario: "Not run" is said only where nothing may have run
    # Guards against a refusal of a call that ran.
    Then no generated history ends refused after a send that may have run

  Scenario: A call that may not be repeated is not sent after a run
    # Guards against a second run of a booking.
    Then no generated history sends a single call again after it may have run

  Scenario: No call runs on more endpoints than its route allows
    # Guards against a retry that its route does not allow.
    Then no generated history exceeds the endpoints of its route

  Scenario: A lookup that fails once in seven is asked again
    # Replays endpoints that answer 500 to every seventh lookup.
    When 2000 lookups meet endpoints that fail 14 in 100
    Then at most 3 in 100 lookups fail
    But a policy that passes failures on fails at least 12 in 100
