Feature: Calls with an idempotency key run at most once

  Scenario Outline: A repeated call is answered with its first outcome
    # Guards against a second run when a caller repeats a completed call.
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

  Scenario Outline: A call whose answer was lost stays unknown
    # Guards against a second run when the answer of the endpoint is lost
    # and the caller repeats the call.
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
    # Guards against a key that is used up by an attempt that was never
    # sent, because the endpoint refused the connection.
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

  Scenario: A call continues when its caller disconnects
    # Guards against an outcome lost because the HTTP handler of the caller
    # is cancelled.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A"
    And the endpoint holds calls before they run
    When the call is sent to entry "A" and its handler is cancelled
    And the endpoint runs the held calls
    And the call is sent to entry "B"
    Then the last outcome is complete and replayed
    And the endpoint ran the call 1 times

  Scenario: A repeated call waits for the one in flight
    # Guards against a second run while the first one has not ended.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A"
    And the endpoint holds calls before they run
    When the call is sent to entries "A", "A" and "B" at once
    Then all outcomes are the same complete one
    And the endpoint ran the call 1 times

  Scenario: A call still running at its deadline is unknown
    # Guards against "not run" reported for a call that runs shortly after
    # its deadline.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A" and 0.2 s to its deadline
    And the endpoint holds calls before they run
    When the call is sent to entry "A"
    Then the last outcome is OUTCOME_UNKNOWN

  Scenario Outline: A key is refused for another request
    # Guards against a request answered with the outcome of a different
    # request that used the same key.
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

  Scenario: An issued key is invalid for another client account
    # Guards against one client account reading the outcome of another.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A"
    When the call is sent to entry "A" by another client account
    Then the last outcome is KEY_INVALID
    And the endpoint ran the call 0 times

  Scenario: Client accounts may choose the same key
    # Guards against keys that are not scoped by client account, so that
    # one account is answered with the outcome of another.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with a client-chosen key of entry "A"
    When the call is sent to entry "A"
    And the call is sent to entry "B" by another client account
    Then the last outcome is complete
    And the endpoint ran the call 2 times

  Scenario: The deadline is checked before the send
    # Guards against a call sent after its deadline, when the caller no
    # longer waits.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A" and 0.0 s to its deadline
    When the call is sent to entry "A"
    Then the last outcome is DEADLINE_BEFORE_SEND
    And the endpoint ran the call 0 times

  Scenario: A key is not accepted again after the clock was set back
    # Guards against a key that is removed as expired and accepted as new
    # after the wall clock was set back.
    Given a site of entries "A", "B" and "C" with one endpoint
    And a call with an issued key of entry "A"
    When the call is sent to entry "A"
    And the wall clock moves by 3700 s and another key is used
    And the wall clock moves by -3700 s and another key is used
    And the call is sent to entry "A"
    Then the last outcome is KEY_EXPIRED
    And the endpoint ran the call 1 times

  Scenario: A full ledger refuses new keys and keeps the old ones
    # Guards against an unexpired key evicted by many new ones, which would
    # let its call run again.
    Given a site whose ledgers hold at most 5 keys
    And a call with an issued key of entry "A"
    When the call is sent to entry "A"
    And 10 other issued keys are used at entry "A"
    Then the last outcome is KEY_BUSY
    When the call is sent to entry "A"
    Then the last outcome is complete and replayed

  Scenario: The ledger decides like a naive one
    # Guards against a wrong decision after an unforeseen order of events.
    Then ledger and naive ledger agree on random events

  Scenario: Malformed keys are refused
    # Guards against an uncaught error or an accepted key when the header
    # is random or an issued key was altered.
    Then random and altered keys are never accepted

  Scenario: Malformed claim rows and outcomes are refused
    # Guards against an uncaught error when the table service or a peer
    # sends unexpected bytes.
    Then random claim rows and forwarded answers cause no undocumented error
