Feature: Silence deadline

  Scenario Outline: The silence deadline follows measured gaps within bounds
    # Guards against a fixed deadline, and against one that exceeds the time
    # that is left for a resume.
    When 1000 token gaps of <gap> s are measured
    Then the silence deadline lies between <low> and <high> s

    Examples:
      | gap  | low  | high |
      | 0.01 | 0.3  | 0.3  |
      | 0.05 | 0.35 | 0.45 |
      | 0.1  | 0.75 | 0.85 |
      | 1.0  | 1.0  | 1.0  |

  Scenario: Without measurements the silence deadline is the upper bound
    # Guards against a false loss of the first stream.
    Then an unmeasured silence deadline is 1.0 s

  Scenario: Old gaps lose their weight
    # Guards against a slow minute that delays detection for good.
    When 1000 token gaps of 1.0 s are measured
    And 1000 more token gaps of 0.02 s are measured
    Then the silence deadline lies between 0.3 and 0.4 s

  Scenario: One long gap raises the silence deadline at once
    # Guards against a loss reported for each stall of a busy engine.
    When 1000 token gaps of 0.01 s are measured
    And 1 more token gaps of 0.2 s are measured
    Then the silence deadline lies between 0.8 and 1.0 s
