Feature: Retry budget

  Scenario: Attempts stay at 1.1 per request with a failing service
    # Guards against retries that multiply the load during an outage.
    When 10000 requests each want 3 retries
    Then at most 1.1 attempts per request were made
    But without the budget 4.0 attempts per request were made

  Scenario: Resumes after the loss of a failure domain may borrow retries
    # Guards against aborting generations that represent minutes of work when
    # a failure domain fails and interrupts many of them at once.
    When 75 generations are interrupted at once after 300 requests
    Then all 75 resumes are allowed
    And the retry budget refuses other retries until the debt is repaid
