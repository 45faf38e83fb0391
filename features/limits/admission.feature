Feature: Fair admission

  Scenario: The queue agrees with a reference deficit round robin
    # Guards against an optimization that changes the order of service.
    Then the admission queue agrees with its reference implementation

  Scenario: A flood of one account does not starve another
    # Guards against first come, first served, where a request of the small
    # account waits behind all requests of the other.
    When one account floods the queue with 500 requests and another sends 1
    Then the small account is served among the first 3
    But first come, first served serves it after 500 others

  Scenario: Service is shared by priority
    # Guards against a queue that ignores the priorities of accounts.
    When accounts of priority 1 and 4 keep the queue full
    Then the second gets 4 times the tokens of the first within 5 percent

  Scenario: A request that would wait past its deadline is refused at once
    # Guards against queueing a request that will not get a slot in time.
    Given a queue that serves 100 tokens per second
    When 1000 tokens of one account are queued
    Then a request with a deadline in 5 s is refused with a retry time in 5 s
    And a request with a deadline in 11 s is queued
    And a request of another account with a deadline in 5 s is queued

  Scenario: The estimated wait is close to the real wait
    # Guards against an estimate that refuses requests that would be served
    # in time, or queues requests that would not.
    Then the estimated wait is within 30 percent of the simulated wait

  Scenario: A token bucket admits at its rate over time
    # Guards against a burst that is granted more than once.
    Then a token bucket of 50 per second admits between 500 and 514 in 10 s
    And requests larger than the burst are admitted at the rate too

  Scenario: Admission refuses above the rate with a retry time
    # Guards against a refusal without a retry time, or with one at which
    # the retry is refused too.
    Given an admission with 10 requests/s, 8 concurrent and 16 slots
    When 20 requests ask for admission at once
    Then 2 were admitted and the rest refused with ACCOUNT_RATE_LIMIT
    And a retry is admitted at the retry time of the last refusal, not before

  Scenario: Admission refuses above the concurrency limit
    # Guards against one account that takes all slots.
    Given an admission with 1000 requests/s, 8 concurrent and 16 slots
    When 20 requests ask for admission at once
    Then 8 were admitted and the rest refused with ACCOUNT_CONCURRENCY_LIMIT

  Scenario: Requests wait for a slot and get it on release
    # Guards against a slot that is leaked or given to two requests.
    Given an admission with 1000 requests/s, 64 concurrent and 4 slots
    When 20 short requests are admitted and released
    Then at most 4 ran at once and all 20 ended
    And all slots of the admission are free

  Scenario: A cancelled request releases its place in the queue
    # Guards against slots leaked by callers that disconnect.
    Given an admission with 1000 requests/s, 64 concurrent and 1 slots
    When 5 requests wait for admission and 3 of them are cancelled
    Then the other 2 are served and all slots are free

  Scenario: A waiting request whose deadline passes is refused as not run
    # Guards against a request that stays queued past its deadline.
    Given an admission with 1000 requests/s, 64 concurrent and 1 slots
    When a request waits for admission until its deadline
    Then it is refused with OVERLOADED and a retry time

  Scenario: Unknown accounts are refused
    # Guards against admitting a request of an account without limits.
    Given an admission with 10 requests/s, 8 concurrent and 16 slots
    Then an unknown account is refused with UNAUTHENTICATED
