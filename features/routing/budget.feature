Feature: Retry budget and gap deadline

  Scenario: Attempts stay at 1.1 per request with a failing service
    # Guards against retries that multiply the load of an outage.
    When 10000 requests each want 3 retries
    Then at most 1.1 attempts per request were made
    But without the budget 4.0 attempts per request were made

  Scenario: Resumes of a dead failure domain may borrow
    # Guards against cutting generations that hold minutes of work.
    When 75 generations are lost at once after 300 requests
    Then all 75 resumes are allowed
    And the retry budget refuses other retries until the debt is earned

  Scenario Outline: The gap deadline follows measured gaps within bounds
    # Guards against a frozen engine that is seen too late for 3 s, and
    # against a deadline that a slow batch misses.
    When 1000 token gaps of <gap> s are measured
    Then the gap deadline lies between <low> and <high> s

    Examples:
      | gap  | low  | high |
      | 0.02 | 0.4  | 0.4  |
      | 0.15 | 0.55 | 0.80 |
      | 2.0  | 1.5  | 1.5  |

  Scenario: Without measurements the gap deadline is the upper bound
    # Guards against false alarms after a start.
    Then an unmeasured gap deadline is 1.5 s

  Scenario: Old gaps lose their weight
    # Guards against a deadline kept high by a slow minute long ago.
    When 1000 token gaps of 1.0 s are measured
    And a minute of 1000 token gaps of 0.02 s is measured
    Then the gap deadline lies between 0.4 and 0.5 s
