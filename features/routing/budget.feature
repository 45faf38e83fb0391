Feature: Retry budget

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
