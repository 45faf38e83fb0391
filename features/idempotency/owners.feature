Feature: Owners of keys that die, pause or cannot reach the store

  Scenario: The owner of an issued key crashes
    # Guards against a second run when the owner is not there to ask.
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

  Scenario: A recorded outcome outlives the owner of a claim
    # Guards against an outcome that is known and yet not told.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    And entry "A" crashes
    And the call is sent to entry "B"
    Then the last outcome is complete and replayed
    And the endpoint ran the call 1 times

  Scenario: The owner of a claim crashes before its outcome is known
    # Guards against another entry taking the claim over.
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

  Scenario: A claim is free again when its call was not run
    # Guards against a call lost because its owner died after "not run".
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
    # Guards against two entries that both believe they own the key.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    When entry "A" pauses before the send and the call is repeated at "B"
    Then the last outcome is OWNER_GONE
    And the endpoint ran the call 1 times

  Scenario: Without the guard, a paused owner runs the call again
    # Shows that the scenario above detects a claim that is taken over.
    Given a site whose claims are taken over from unresponsive owners
    And a call with a client-chosen key of entry "A"
    When entry "A" pauses before the send and the call is repeated at "B"
    Then the endpoint ran the call 2 times

  Scenario: During a store outage issued keys work and others are refused
    # Guards against a claim that is assumed while the store is down.
    Given a site of entries "A", "B" and "C" with one endpoint
    And the table service is down
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    Then the last outcome is STORE_UNAVAILABLE
    And the endpoint ran the call 0 times
    Given a call with an issued key of entry "A"
    When the call is sent to entry "B"
    Then the last outcome is complete

  Scenario: An owner answers repeats during a store outage
    # Guards against an outcome in memory that is not told.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    And the table service goes down
    And the call is sent to entry "A"
    Then the last outcome is complete and replayed

  Scenario: A claim whose answer is lost is read back
    # Guards against a claim that took effect and is given up.
    Given a site of entries "A", "B" and "C" with one endpoint
    And the table service loses the answer of 1 write
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    Then the last outcome is complete
    When the call is sent to entry "B"
    Then the last outcome is complete and replayed
    And the endpoint ran the call 1 times

  Scenario: A claim that arrives late owns nothing by itself
    # Guards against a send on a claim that was not confirmed.
    Given a site of entries "A", "B" and "C" with one endpoint
    And the table service delays 1 write
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    Then the last outcome is CLAIM_UNKNOWN
    And the endpoint ran the call 0 times
    When the delayed write arrives
    And the call is sent to entry "B"
    Then the last outcome is complete
    And the endpoint ran the call 1 times

  Scenario: Entries race for a client-chosen key
    # Guards against two winners of one claim.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    And the endpoint holds calls before they run
    When the call is sent to entries "A", "B" and "C" at once
    Then all outcomes are the same complete one
    And the endpoint ran the call 1 times

  Scenario: A claim above the budget is refused, a repeat is answered
    # Guards against claims that use up the table service.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    And the claim budget of entry "B" is used up
    And the call is sent to entry "B"
    Then the last outcome is complete and replayed
    Given a call with a client-chosen key of entry "B"
    When the call is sent to entry "B"
    Then the last outcome is CLAIM_BUDGET_EXHAUSTED
