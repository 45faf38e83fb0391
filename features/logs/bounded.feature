Feature: Logs have a limited rate and never block

  Scenario: Lines beyond the rate limit are dropped and counted
    # Guards against logs that use up the CPU under load.
    Given a log whose reader accepts everything
    When 5000 lines are logged within a second
    Then at most 600 lines were written
    And a later line reports how many were dropped

  Scenario: A reader that stops reading does not block the process
    # Guards against a process that waits for its log reader, and against a
    # buffer that grows without limit.
    Given a log whose reader accepts nothing
    When 20000 lines are logged over 200 s
    Then at most 300 KB are buffered

  Scenario: Warnings are exempt from the rate limit
    # Guards against dropping the line that states the cause of a fault.
    Given a log whose reader accepts everything
    When 5000 lines are logged within a second
    Then a warning is still written
