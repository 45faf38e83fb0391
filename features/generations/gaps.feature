Feature: Idle time-out of streams

  Scenario Outline: The idle time-out follows measured gaps within bounds
    # Guards against a fixed time-out, and against one that exceeds the time
    # that remains for a resume.
    When 1000 token gaps of <gap> s are measured
    Then the idle time-out lies between <low> and <high> s

    Examples:
      | gap  | low  | high |
      | 0.01 | 0.3  | 0.3  |
      | 0.05 | 0.35 | 0.45 |
      | 0.1  | 0.75 | 0.85 |
      | 1.0  | 1.0  | 1.0  |

  Scenario: Without measurements the idle time-out is the upper bound
    # Guards against a first stream that is counted as lost too early.
    Then an unmeasured idle time-out is 1.0 s

  Scenario: The idle time-out falls again after long gaps
    # Guards against one slow period that delays loss detection permanently.
    When 1000 token gaps of 1.0 s are measured
    And 1000 more token gaps of 0.02 s are measured
    Then the idle time-out lies between 0.3 and 0.4 s

  Scenario: One long gap raises the idle time-out at once
    # Guards against a loss that is reported for each stall of a busy engine.
    When 1000 token gaps of 0.01 s are measured
    And 1 more token gaps of 0.2 s are measured
    Then the idle time-out lies between 0.8 and 1.0 s
