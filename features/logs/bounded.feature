Feature: Logs are bounded and never wait

  Scenario: A flood of lines is cut to the rate and told
    # Guards against logs that take the processor under load.
    Given a log whose reader takes everything
    When 5000 lines are logged within a second
    Then at most 600 lines were written
    And later lines tell how many were dropped

  Scenario: A reader that stopped does not hold the process
    # Guards against a process that waits for its log.
    Given a log whose reader takes nothing
    When 20000 lines are logged over 200 s
    Then at most 300 KB are kept

  Scenario: Warnings pass while lines are dropped
    # Guards against losing the line that tells the cause.
    Given a log whose reader takes everything
    When 5000 lines are logged within a second
    Then a warning is still written
