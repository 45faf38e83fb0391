Feature: The same condition is logged once in a period

  Scenario: A condition that persists is logged again after the period
    # Guards against a fault that lasts for days and is in no recent log.
    Given a filter of repeated lines with a period of 60 s and 64 keys
    When "row odd" occurs every 0.2 s for 125 s
    Then "row odd" was logged at 0 s, 60 s and 120 s

  Scenario: Many conditions do not fill the log
    # Guards against logs and memory that grow with the number of odd rows.
    Given a filter of repeated lines with a period of 60 s and 64 keys
    When 5000 conditions occur every 0.2 s for 2 s
    Then 64 lines were logged
    And the filter keeps 64 keys
