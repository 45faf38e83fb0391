Feature: Relay of one answer

  Every scenario also checks that the delivered tokens are those of one
  generation in order, that each endpoint is given back once, and that no
  stream or task is left.

  Scenario: An answer without faults asks one engine once
    # Guards against extra tokens computed when nothing fails.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole
    And the engine calls are "generate e1 0"
    And no stream was cancelled

  Scenario: Tokens that came together are delivered together
    # Guards against one write for each token.
    Given the engine endpoints "e1"
    And "e1" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole
    And it was delivered in 1 parts

  Scenario: A dead engine is replaced with the exact prefix
    # Guards against a restart from the first token or another seed.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, lose connection"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole
    And the engine calls are "generate e1 0; resume e1 3; generate e2 3"
    And all orders have the same seed, adapter and version
    And the attempt numbers grow

  Scenario: A silent connection is replaced by a stream resume
    # Guards against a prefill paid for an engine that still works.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, silence"
    And "e1" resumes with "rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole
    And the engine calls are "generate e1 0; resume e1 3"
    And no stream was cancelled

  Scenario: A frozen engine is left for another replica and cancelled
    # Guards against waiting for an engine that is gone.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, silence"
    And "e1" resumes with "no start, silence"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole
    And the engine calls are "generate e1 0; resume e1 3; generate e2 3"
    And the stream at "e1" was cancelled

  Scenario: A stream that keeps breaking is resumed only after progress
    # Guards against an endless loop on one broken engine.
    Given the engine endpoints "e1, e2"
    And "e1" generates "2 tokens, lose connection"
    And "e1" resumes with "1 tokens, lose connection"
    And "e1" resumes with "lose connection"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole
    And the engine calls are "generate e1 0; resume e1 2; resume e1 3; generate e2 3"

  Scenario Outline: A first attempt that fails before its first token is repeated
    # Guards against a failure that another replica could have hidden.
    Given the engine endpoints "e1, e2"
    And "e1" generates "<script>"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole

    Examples:
      | script                   |
      | refuse connect unsent    |
      | refuse leaving sent      |
      | refuse failed sent       |
      | no start, silence        |
      | lose connection          |
      | no start, 2 tokens       |

  Scenario: A first attempt may begin late
    # Guards against attempts that add to the load of slow engines.
    Given the engine endpoints "e1, e2"
    And "e1" generates "late start, rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole
    And the engine calls are "generate e1 0"

  Scenario: An attempt after a loss must begin soon
    # Guards against two slow starts that add up to more than 3 s.
    Given the engine endpoints "e1, e2, e3"
    And "e1" generates "3 tokens, lose failed"
    And "e2" generates "late start, rest"
    And "e3" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole
    And the engine calls are "generate e1 0; generate e2 3; generate e3 3"

  Scenario Outline: Wrong events of an engine never reach the caller
    # Guards against answers with missing, repeated or foreign tokens.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, <fault>"
    And "e2" generates "rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole

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
    Then the answer is whole

  Scenario: "Not run" is said only if no engine was reached
    # Guards against "not run" for an order that was sent.
    Given the engine endpoints "e1, e2"
    And "e1" generates "refuse connect unsent"
    And "e2" generates "refuse connect unsent"
    When an answer of 8 tokens is relayed
    Then the answer fails with code 2010

  Scenario: An order that was sent is never called "not run"
    Given the engine endpoints "e1, e2"
    And "e1" generates "refuse connection sent"
    And "e2" generates "refuse connect unsent"
    When an answer of 8 tokens is relayed
    Then the answer fails with code 5003

  Scenario: No endpoint at all is a refusal
    Given the engine endpoints ""
    When an answer of 8 tokens is relayed
    Then the answer fails with code 2002

  Scenario: Without a replica of the version the answer ends
    # Guards against a mixture of two versions.
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
    Then the answer of version "v2" is whole

  Scenario: Retries end when the retry budget is used up
    # Guards against "not run" from the budget after an order was sent.
    Given the engine endpoints "e1, e2"
    And the picker refuses retries with code 2011
    And "e1" generates "3 tokens, lose connection"
    When an answer of 8 tokens is relayed
    Then the answer fails with code 5004

  Scenario: The number of attempts is bounded
    # Guards against a request that is retried for ever.
    Given the engine endpoints "e1, e2, e3, e4, e5, e6"
    And every engine generates "lose connection" 9 times
    When an answer of 8 tokens is relayed with at most 4 attempts
    Then the answer fails with code 5004
    And 4 engine calls were made

  Scenario: The deadline of the request ends it
    # Guards against work that no one waits for.
    Given the engine endpoints "e1"
    And "e1" generates "3 tokens, 100 heartbeats"
    When an answer of 8 tokens is relayed with a deadline in 0.5 s
    Then the answer fails with code 5002
    And the stream at "e1" was cancelled
    And the picker does not count a loss at "e1"

  Scenario: The caller is told to wait while the engine has no token
    # Guards against callers that leave during a long prefill.
    Given the engine endpoints "e1"
    And "e1" generates "12 heartbeats, rest"
    When an answer of 8 tokens is relayed
    Then the answer is whole
    And the caller was told to wait

  Scenario: A caller that leaves ends the relay
    # Guards against leaked streams, tasks and endpoint accounts.
    Given the engine endpoints "e1"
    And "e1" generates "3 tokens, silence"
    When the caller leaves an answer of 8 tokens after 2 parts
    Then no stream was cancelled

  Scenario: A relay that is cancelled while it waits ends at once
    # Guards against a cancellation mistaken for silence.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, silence"
    When the task that relays an answer of 8 tokens is cancelled
    Then the engine calls are "generate e1 0"

  Scenario: Another entry continues with the tokens of the caller
    Given the engine endpoints "e1, e2"
    And "e1" generates "rest"
    And the caller has 3 tokens from stream "gone" at "e9"
    When the rest of 8 tokens is relayed with its tokens
    Then the answer is whole
    And the engine calls are "generate e1 3"

  Scenario: Another entry resumes the stream of the engine
    # Guards against a second prefill when only the entry died.
    Given the engine endpoints "e1, e2"
    And "e2" resumes with "rest"
    And the caller has 3 tokens from stream "s" at "e2"
    When the rest of 8 tokens is relayed without its tokens
    Then the answer is whole
    And the engine calls are "resume e2 3"

  Scenario: Without tokens and stream the answer is computed again
    # Guards against a continuation that nothing checks.
    Given the engine endpoints "e1, e2"
    And "e1" generates "rest"
    And the caller has 3 tokens from stream "s" at "e2"
    When the rest of 8 tokens is relayed without its tokens
    Then the answer is whole
    And the engine calls are "resume e2 3; generate e1 0"

  Scenario: A recomputed answer that differs is not delivered
    # Guards against two generations mixed in one answer.
    Given the engine endpoints "e1, e2"
    And "e1" generates "diverge, rest"
    And "e2" generates "diverge, rest"
    And the caller has 3 tokens from stream "s" at "e2"
    When the rest of 8 tokens is relayed without its tokens
    Then the answer fails with code 5001
    And 0 tokens were delivered

  Scenario: An engine stream lost after a resume without tokens is recomputed
    # Guards against a prefix with a hole where the tokens are unknown.
    Given the engine endpoints "e1, e2"
    And "e2" resumes with "2 tokens, lose failed"
    And "e1" generates "2 tokens, 2 tokens, rest"
    And the caller has 3 tokens from stream "s" at "e2"
    When the rest of 8 tokens is relayed without its tokens
    Then the answer is whole
    And the engine calls are "resume e2 3; generate e1 0"

  Scenario: A concurrent resume is superseded by a higher attempt
    # Guards against two entries that share attempt numbers.
    Given the engine endpoints "e1, e2"
    And "e2" resumes with "refuse superseded sent"
    And "e2" resumes with "rest"
    And the caller has 3 tokens from stream "s" at "e2"
    When the rest of 8 tokens is relayed with its tokens
    Then the answer is whole
    And the attempt numbers grow

  Scenario: A relay whose stream was taken over stops
    # Guards against two entries that fight for one stream.
    Given the engine endpoints "e1, e2"
    And "e1" generates "3 tokens, lose ended_early"
    And "e1" resumes with "refuse superseded sent"
    When an answer of 8 tokens is relayed
    Then the answer fails with code 5004
    And no stream was cancelled
