Feature: Relay of one answer

  Every scenario also checks that the delivered tokens are those of one
  generation in order, that each endpoint is released once, and that no
  stream or task remains.

  Scenario: An answer without faults takes one engine call
    # Guards against extra tokens that are computed although nothing fails.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete
    And the engine calls are "generate e1 0"
    And no stream was cancelled

  Scenario: Tokens received together are delivered together
    # Guards against a separate write for each token.
    Given the engine endpoints "e1"
    And "e1" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete
    And it was delivered in 1 parts

  Scenario: A dead engine is replaced with the exact prefix
    # Guards against a restart from the first token or with another seed.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, lose connection"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete
    And the engine calls are "generate e1 0; resume e1 3; generate e2 3"
    And all orders have the same seed, adapter and version
    And the attempt numbers grow

  Scenario: An idle connection is replaced by a stream resume
    # Guards against a second prefill although the engine still works.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, idle"
    And "e1" resumes with "rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete
    And the engine calls are "generate e1 0; resume e1 3"
    And no stream was cancelled

  Scenario: A frozen engine is replaced and its stream is cancelled
    # Guards against waiting for an engine that no longer responds.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, idle"
    And "e1" resumes with "no start, idle"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete
    And the engine calls are "generate e1 0; resume e1 3; generate e2 3"
    And the stream at "e1" was cancelled

  Scenario: A stream that is lost again is resumed only after progress
    # Guards against an endless loop on one broken engine.
    Given the engine endpoints "e1, e2"
    And "e1" generates "2 tokens, lose connection"
    And "e1" resumes with "1 tokens, lose connection"
    And "e1" resumes with "lose connection"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete
    And the engine calls are "generate e1 0; resume e1 2; resume e1 3; generate e2 3"

  Scenario Outline: A first attempt that fails before its first token is repeated
    # Guards against a failure although another replica could answer.
    Given the engine endpoints "e1, e2"
    And "e1" generates "<script>"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete

    Examples:
      | script                   |
      | refuse connect unsent    |
      | refuse leaving sent      |
      | refuse failed sent       |
      | no start, idle           |
      | lose connection          |
      | no start, 2 tokens       |

  Scenario: A first attempt may start late
    # Guards against further attempts that add to the load of slow engines.
    Given the engine endpoints "e1, e2"
    And "e1" generates "late start, rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete
    And the engine calls are "generate e1 0"

  Scenario: An attempt after a loss has less time to start
    # Guards against two slow starts that add up to more than 3 s.
    Given the engine endpoints "e1, e2, e3"
    And "e1" generates "3 tokens, lose failed"
    And "e2" generates "late start, rest"
    And "e3" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete
    And the engine calls are "generate e1 0; generate e2 3; generate e3 3"

  Scenario Outline: Invalid events of an engine never reach the caller
    # Guards against answers with missing, repeated or wrong tokens.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, <fault>"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete

    Examples:
      | fault                           |
      | repeat 2, lose connection       |
      | skip 1, 2 tokens                |
      | end at 2, rest                  |
      | end at 8                        |
      | diverge, repeat 2               |
      | late tokens, lose connection    |
      | 9 tokens                        |

  Scenario: Tokens repeated by an engine are delivered once
    Given the engine endpoints "e1"
    And "e1" generates "3 tokens, repeat 3, late tokens, repeat 1, rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete

  Scenario: A "not run" code is returned only if no engine was reached
    # Guards against a "not run" code for an order that was sent.
    Given the engine endpoints "e1, e2"
    And "e1" generates "refuse connect unsent"
    And "e2" generates "refuse connect unsent"
    When an answer of 8 tokens is relayed
    Then the answer fails with code 2010

  Scenario: An order that was sent never leads to a "not run" code
    Given the engine endpoints "e1, e2"
    And "e1" generates "refuse connection sent"
    And "e2" generates "refuse connect unsent"
    When an answer of 8 tokens is relayed
    Then the answer fails with code 5003

  Scenario: An answer is refused if there is no endpoint
    Given the engine endpoints ""
    When an answer of 8 tokens is relayed
    Then the answer fails with code 2002

  Scenario: An answer fails if its version has no replica left
    # Guards against an answer that mixes two versions.
    Given the engine endpoints "e1, e2:v2"
    And "e1" generates "3 tokens, lose connection"
    When an answer of 8 tokens is relayed
    Then the answer fails with code 5000
    And 3 tokens were delivered

  Scenario: Before the first token another version may answer
    Given the engine endpoints "e1, e2:v2"
    And "e1" generates "lose connection"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer of version "v2" is complete

  Scenario: Retries end when the retry budget is used up
    # Guards against the budget's "not run" code after an order was sent.
    Given the engine endpoints "e1, e2"
    And the picker refuses retries with code 2011
    And "e1" generates "3 tokens, lose connection"
    When an answer of 8 tokens is relayed
    Then the answer fails with code 5004

  Scenario: The number of attempts is bounded
    # Guards against a request that is retried endlessly.
    Given the engine endpoints "e1, e2, e3, e4, e5, e6"
    And every engine generates "lose connection" 9 times
    When an answer of 8 tokens is relayed with at most 4 attempts
    Then the answer fails with code 5004
    And 4 engine calls were made

  Scenario: The deadline of the request ends it
    # Guards against engine work that continues after the deadline.
    Given the engine endpoints "e1"
    And "e1" generates "3 tokens, 100 heartbeats"
    When an answer of 8 tokens is relayed with a deadline in 0.5 s
    Then the answer fails with code 5002
    And the stream at "e1" was cancelled
    And the picker does not count a loss at "e1"

  Scenario: The caller gets heartbeats while the engine has no token
    # Guards against callers that disconnect during a long prefill.
    Given the engine endpoints "e1"
    And "e1" generates "12 heartbeats, rest"
    When an answer of 8 tokens is relayed
    Then the answer is complete
    And a heartbeat for the caller was due

  Scenario: A caller that disconnects ends the relay
    # Guards against leaked streams, leaked tasks and unreleased endpoints.
    Given the engine endpoints "e1"
    And "e1" generates "3 tokens, idle"
    When the caller disconnects from an answer of 8 tokens after 2 parts
    Then no stream was cancelled

  Scenario: A relay that is cancelled while it waits ends at once
    # Guards against a cancellation that is mistaken for a time-out.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, idle"
    When the task that relays an answer of 8 tokens is cancelled
    Then the engine calls are "generate e1 0"

  Scenario: Another entry continues with the tokens of the caller
    Given the engine endpoints "e1, e2"
    And "e1" generates "rest"
    And the caller has 3 tokens from stream "gone" at "e9"
    When an answer of 8 tokens is resumed with the caller's tokens
    Then the answer is complete
    And the engine calls are "generate e1 3"

  Scenario: Another entry resumes the stream of the engine
    # Guards against a second prefill when only the entry failed.
    Given the engine endpoints "e1, e2"
    And "e2" resumes with "rest"
    And the caller has 3 tokens from stream "s" at "e2"
    When an answer of 8 tokens is resumed without the caller's tokens
    Then the answer is complete
    And the engine calls are "resume e2 3"

  Scenario: Without tokens and stream the answer is recomputed
    # Guards against a continuation that is not verified.
    Given the engine endpoints "e1, e2"
    And "e1" generates "rest"
    And the caller has 3 tokens from stream "s" at "e2"
    When an answer of 8 tokens is resumed without the caller's tokens
    Then the answer is complete
    And the engine calls are "resume e2 3; generate e1 0"

  Scenario: A recomputed answer that differs is not delivered
    # Guards against two generations mixed in one answer.
    Given the engine endpoints "e1, e2"
    And "e1" generates "diverge, rest"
    And "e2" generates "diverge, rest"
    And the caller has 3 tokens from stream "s" at "e2"
    When an answer of 8 tokens is resumed without the caller's tokens
    Then the answer fails with code 5001
    And 0 tokens were delivered

  Scenario: An engine stream lost after a resume without tokens is recomputed
    # Guards against a prefix in which the unknown tokens are missing.
    Given the engine endpoints "e1, e2"
    And "e2" resumes with "2 tokens, lose failed"
    And "e1" generates "2 tokens, 2 tokens, rest"
    And the caller has 3 tokens from stream "s" at "e2"
    When an answer of 8 tokens is resumed without the caller's tokens
    Then the answer is complete
    And the engine calls are "resume e2 3; generate e1 0"

  Scenario: A concurrent resume is superseded by a higher attempt
    # Guards against two entries that use the same attempt numbers.
    Given the engine endpoints "e1, e2"
    And "e2" resumes with "refuse superseded sent"
    And "e2" resumes with "rest"
    And the caller has 3 tokens from stream "s" at "e2"
    When an answer of 8 tokens is resumed with the caller's tokens
    Then the answer is complete
    And the attempt numbers grow

  Scenario: A relay whose stream was superseded stops
    # Guards against two entries that supersede each other endlessly.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, lose ended_early"
    And "e1" resumes with "refuse superseded sent"
    When an answer of 8 tokens is relayed
    Then the answer fails with code 5004
    And no stream was cancelled
