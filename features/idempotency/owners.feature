Feature: Owners of keys that crash, pause or cannot reach the store

  Scenario: The owner of an issued key crashes
    # Guards against a second run by another entry when the owner is
    # unreachable or was replaced.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A"
    When the call is sent to entry "A"
    And entry "A" crashes
    And the call is sent to entry "B"
    Then the last outcome is OWNER_UNREACHABLE
    When entry "A" is replaced
    And the call is sent to entry "B"
    Then the last outcome is OWNER_GONE
    When the call is sent to entry "A"
    Then the last outcome is OWNER_GONE
    And the endpoint ran the call 1 times

  Scenario: A recorded outcome is available after its owner crashes
    # Guards against "unknown" reported for an outcome that the claim row
    # holds.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    And entry "A" crashes
    And the call is sent to entry "B"
    Then the last outcome is complete and replayed
    And the endpoint ran the call 1 times

  Scenario: The owner of a claim crashes before its outcome is known
    # Guards against another entry that takes over the claim and runs the
    # call a second time.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    And the endpoint holds calls before they run
    When the call is sent to entry "A" and its handler is cancelled
    And entry "A" crashes
    And the call is sent to entry "B"
    Then the last outcome is OWNER_UNREACHABLE
    When entry "A" is replaced
    And the call is sent to entry "A"
    Then the last outcome is OWNER_GONE

  Scenario: A claim may be replaced when its call was not run
    # Guards against a key that stays unusable because its owner crashed
    # after recording "not run".
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    And the endpoint refuses connections
    When the call is sent to entry "A"
    And entry "A" crashes
    And the endpoint answers again
    And the call is sent to entry "B"
    Then the last outcome is complete
    And the endpoint ran the call 1 times

  Scenario: The owner pauses between check and send
    # Guards against two entries that both send the call, because the first
    # owner continues after it was replaced.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    When entry "A" pauses before the send and the call is repeated at "B"
    Then the last outcome is OWNER_GONE
    And the endpoint ran the call 1 times

  Scenario: Without the guard, a paused owner runs the call again
    # Shows that the scenario above detects a claim that was taken over.
    Given a site whose claims are taken over from unresponsive owners
    And a call with a client-chosen key of entry "A"
    When entry "A" pauses before the send and the call is repeated at "B"
    Then the endpoint ran the call 2 times

  Scenario: During a store outage issued keys work, new claims do not
    # Guards against a call sent without a confirmed claim while the table
    # service is down.
    Given a site of entries "A", "B" and "C" with one endpoint
    And the table service is down
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    Then the last outcome is STORE_UNAVAILABLE
    And the endpoint ran the call 0 times
    Given a call with an issued key of entry "A"
    When the call is sent to entry "B"
    Then the last outcome is complete

  Scenario: An owner answers repeated calls during a store outage
    # Guards against a refusal although the owner holds the outcome in
    # memory.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    And the table service goes down
    And the call is sent to entry "A"
    Then the last outcome is complete and replayed

  Scenario: A claim whose write answer is lost is read back
    # Guards against an abandoned claim that the table service has applied.
    Given a site of entries "A", "B" and "C" with one endpoint
    And the table service loses the answer of 1 write
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    Then the last outcome is complete
    When the call is sent to entry "B"
    Then the last outcome is complete and replayed
    And the endpoint ran the call 1 times

  Scenario: A claim that is applied late does not permit a send
    # Guards against a send on an unconfirmed claim, and against a key that
    # is blocked once the delayed write is applied.
    Given a site of entries "A", "B" and "C" with one endpoint
    And the table service delays 1 write
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    Then the last outcome is CLAIM_UNKNOWN
    And the endpoint ran the call 0 times
    When the delayed write is applied
    And the call is sent to entry "B"
    Then the last outcome is complete
    And the endpoint ran the call 1 times

  Scenario: Entries race for a client-chosen key
    # Guards against two entries that both obtain the claim of one key.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    And the endpoint holds calls before they run
    When the call is sent to entries "A", "B" and "C" at once
    Then all outcomes are the same complete one
    And the endpoint ran the call 1 times

  Scenario: Without claim budget only known keys are answered
    # Guards against claims that overload the table service, and against
    # repeated calls that are refused for lack of budget.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    And the claim budget of entry "B" is exhausted
    And the call is sent to entry "B"
    Then the last outcome is complete and replayed
    Given a call with a client-chosen key of entry "B"
    When the call is sent to entry "B"
    Then the last outcome is CLAIM_BUDGET_EXHAUSTED
