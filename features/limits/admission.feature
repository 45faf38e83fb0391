Feature: Fair admission

  Scenario: The queue agrees with plain deficit round robin
    # Guards against a shortcut that changes the order of service.
    Then the admission queue agrees with its plain re-statement

  Scenario: A flood of one account does not starve another
    # Guards against first come, first served, where the small account
    # waits behind the whole flood.
    When one account floods the queue with 500 requests and another sends 1
    Then the small account is served among the first 3
    But first come, first served serves it after 500 others

  Scenario: Service is shared by priority
    # Guards against ignoring priorities.
    When accounts of priority 1 and 4 keep the queue full
    Then the second gets 4 times the tokens of the first within 5 percent

  Scenario: A request that would wait past its deadline is refused at once
    # Guards against callers that wait in vain.
    Given a queue that serves 100 tokens per second
    When 1000 tokens of one account are queued
    Then a queue request with 5 s left is refused and told to retry in 5 s
    And a queue request with 11 s left is queued
    And a queue request of another account with 5 s left is queued

  Scenario: The estimate of the wait is close to the real wait
    # Guards against refusing too much or too little.
    Then the estimated wait is within 30 percent of the simulated wait

  Scenario: A bucket keeps to its rate over time
    # Guards against a burst that repeats.
    Then a token bucket of 50 per second admits between 500 and 514 in 10 s
    And requests larger than the burst keep to the rate too

  Scenario: Admission refuses above the rate with a time to retry
    # Guards against a refusal that does not say when to come back.
    Given an admission with 10 requests/s, 8 concurrent and 16 slots
    When 20 requests ask for admission at once
    Then 2 were admitted and the rest refused with ACCOUNT_RATE_LIMIT
    And each refusal names a time to retry that admits one request

  Scenario: Admission refuses above the concurrency limit
    # Guards against an account that holds every slot.
    Given an admission with 1000 requests/s, 8 concurrent and 16 slots
    When 20 requests ask for admission at once
    Then 8 were admitted and the rest refused with ACCOUNT_CONCURRENCY_LIMIT

  Scenario: Requests wait for a slot and get it on release
    # Guards against slots that are lost or given twice.
    Given an admission with 1000 requests/s, 64 concurrent and 4 slots
    When 20 requests run through admission for a moment each
    Then never more than 4 ran at once and all 20 ended
    And all slots of the admission are free

  Scenario: A cancelled waiter gives its place back
    # Guards against slots leaked by callers that hang up.
    Given an admission with 1000 requests/s, 64 concurrent and 1 slots
    When 5 requests wait for admission and 3 of them are cancelled
    Then the other 2 are served and all slots are free

  Scenario: A waiter whose deadline passes is refused as not run
    # Guards against callers that wait past their deadline.
    Given an admission with 1000 requests/s, 64 concurrent and 1 slots
    When a request waits for admission until its deadline
    Then it is refused with OVERLOADED and a time to retry

  Scenario: Unknown accounts are refused
    # Guards against admission without a limit.
    Given an admission with 10 requests/s, 8 concurrent and 16 slots
    Then an unknown account is refused with UNAUTHENTICATED
