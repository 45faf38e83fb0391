Feature: Reports of the test runner

  Scenario: The error of a scenario that failed is reported
    # Guards against failures that cannot be traced, because the report names
    # the scenario only.
    When a suite runs with these scenarios
      """
      Feature: Three scenarios
        Scenario: The first one
          Given a step that passes
        Scenario: The second one
          Given a step that passes
          Then a step fails because of "seed 17"
        Scenario: The third one
          Then a step raises "timed out"
      """
    Then the runner counts 1 passed and 2 failed
    And its report contains "ASSERT FAILED: seed 17" and "TimeoutError: timed out"
    And its report does not contain "The first one"
