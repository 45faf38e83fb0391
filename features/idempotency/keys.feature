Feature: Calls with an idempotency key run at most once

  Scenario Outline: A repeated call is answered with its first outcome
    # Guards against a second run when a caller repeats a call.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with <kind> key of entry "A"
    When the call is sent to entry "A"
    And the call is sent to entry "<second>"
    Then the last outcome is complete and replayed
    And the endpoint ran the call 1 times

    Examples:
      | kind             | second |
      | an issued        | A      |
      | an issued        | B      |
      | a client-chosen  | A      |
      | a client-chosen  | B      |

  Scenario Outline: A lost answer is unknown for good
    # Guards against a second run after an answer was lost.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with <kind> key of entry "A"
    And the endpoint runs calls and loses their answers
    When the call is sent to entry "A"
    Then the last outcome is OUTCOME_UNKNOWN
    When the endpoint answers again
    And the call is sent to entry "B"
    Then the last outcome is OUTCOME_UNKNOWN
    And the endpoint ran the call 1 times

    Examples:
      | kind            |
      | an issued       |
      | a client-chosen |

  Scenario Outline: A call that was not sent may be sent later
    # Guards against a call lost because its first attempt never ran.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with <kind> key of entry "A"
    And the endpoint refuses connections
    When the call is sent to entry "A"
    Then the last outcome is CONNECT_FAILED
    When the endpoint answers again
    And the call is sent to entry "B"
    Then the last outcome is complete
    And the endpoint ran the call 1 times

    Examples:
      | kind            |
      | an issued       |
      | a client-chosen |

  Scenario: A caller that hangs up neither stops nor loses its call
    # Guards against an outcome lost with the caller's HTTP handler.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A"
    And the endpoint holds calls before they run
    When the call is sent to entry "A" and its handler is cancelled
    And the endpoint lets calls run
    And the call is sent to entry "B"
    Then the last outcome is complete and replayed
    And the endpoint ran the call 1 times

  Scenario: A repeat waits for the call in flight
    # Guards against a second run while the first is under way.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A"
    And the endpoint holds calls before they run
    When the call is sent to entries "A", "A" and "B" at once
    Then all outcomes are the same complete one
    And the endpoint ran the call 1 times

  Scenario: A wait that ends at the deadline is unknown
    # Guards against "not run" for a call that runs a moment later.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A" and 0.2 s to its deadline
    And the endpoint holds calls before they run
    When the call is sent to entry "A"
    Then the last outcome is OUTCOME_UNKNOWN

  Scenario Outline: A key is refused for another request
    # Guards against the outcome of one request given to another.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with <kind> key of entry "A"
    When the call is sent to entry "A"
    And the call is sent to entry "<second>" with another body
    Then the last outcome is KEY_BODY_MISMATCH
    And the endpoint ran the call 1 times

    Examples:
      | kind            | second |
      | an issued       | A      |
      | an issued       | B      |
      | a client-chosen | B      |

  Scenario: An issued key is of no use to another client account
    # Guards against one account reading the outcome of another.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A"
    When the call is sent to entry "A" by another client account
    Then the last outcome is KEY_INVALID
    And the endpoint ran the call 0 times

  Scenario: Client accounts that choose the same key do not meet
    # Guards against keys that are not scoped by client account.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    And the call is sent to entry "B" by another client account
    Then the last outcome is complete
    And the endpoint ran the call 2 times

  Scenario: The deadline is checked before the send
    # Guards against a call sent after its caller has given up.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A" and 0.0 s to its deadline
    When the call is sent to entry "A"
    Then the last outcome is DEADLINE_BEFORE_SEND
    And the endpoint ran the call 0 times

  Scenario: A key is not accepted again after the clock was set back
    # Guards against a key that is forgotten and then seen as new.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A"
    When the call is sent to entry "A"
    And the wall clock moves by 3700 s and another key is used
    And the wall clock moves by -3700 s and another key is used
    And the call is sent to entry "A"
    Then the last outcome is KEY_EXPIRED
    And the endpoint ran the call 1 times

  Scenario: A full ledger refuses new keys and keeps the old ones
    # Guards against a live key evicted by a flood of new ones.
    Given a site whose entries remember 5 keys
    And a call with an issued key of entry "A"
    When the call is sent to entry "A"
    And 10 other issued keys are used at entry "A"
    Then the last outcome is KEY_BUSY
    When the call is sent to entry "A"
    Then the last outcome is complete and replayed

  Scenario: The ledger agrees with a naive one
    # Guards against a wrong decision in some order of events.
    Then ledger and naive ledger agree on random events

  Scenario: Malformed keys are refused
    # Guards against an error or acceptance of a forged key.
    Then random and altered keys are never accepted

  Scenario: Malformed claim rows and outcomes are refused
    # Guards against an uncaught error from bytes of store or peers.
    Then random claim rows and forwarded answers raise no other error
