Feature: HTTP adapter of model engines

  Scenario: A stream returns the tokens that the seed determines
    Given a stand-in engine process
    When 40 tokens are generated
    Then the engine tokens match the seed
    And the engine stream ends with its final event

  Scenario: A generation continues after its prefix
    # Guards against an answer that starts again from its first token when
    # a new attempt follows a failed one.
    Given a stand-in engine process
    When 40 tokens are generated after a prefix of 15
    Then the engine tokens match the seed from index 15

  Scenario: A cached prefix is not computed again
    # Guards against a stand-in that charges the same prefill with and without
    # a cached prefix, which would hide the cost of lost cache affinity.
    Given a stand-in engine process
    When 40 tokens are generated
    And the same prompt is generated after a prefix of 15
    Then the second stream computed 0 prefill tokens

  Scenario: A stream is resumed on a new connection while the old one hangs
    # Guards against computing the prompt again when only the connection
    # failed.
    Given a stand-in engine process
    When the connections become unresponsive after 10 of 400 tokens
    And the engine stream is resumed at 10 by a newer attempt
    Then the engine tokens match the seed
    And the engine computed 400 tokens for it

  Scenario: An older attempt cannot resume a stream of a newer one
    # Guards against two entries that read the same stream at once.
    Given a stand-in engine process
    When the connections become unresponsive after 10 of 400 tokens
    And the engine stream is resumed at 10 by a newer attempt
    And the engine stream is resumed at 10 by the first attempt
    Then the resume fails with reason "superseded"

  Scenario: A stream is not resumed after a newer attempt began
    # Guards against an entry that continues an attempt after its caller has
    # reconnected to another entry.
    Given a stand-in engine process
    When the connections become unresponsive after 10 of 400 tokens
    And the same request is generated again by attempt 1001
    And the engine stream is resumed at 10 by a newer attempt
    Then the resume fails with reason "superseded"

  Scenario: A cancelled stream stops generating
    # Guards against computing tokens after the caller has disconnected.
    Given a stand-in engine process
    When the engine stream is cancelled after 10 of 10000 tokens
    Then the engine log has the end reason "cancelled" before 10000 tokens

  Scenario: A stream without a reader ends after a time limit
    # Guards against engines whose capacity is used up by abandoned streams.
    Given a stand-in engine process
    When the engine stream is abandoned after 10 of 100000 tokens
    Then the engine log has the end reason "orphaned" before 100000 tokens

  Scenario Outline: An engine failure is reported with its reason
    Given a stand-in engine process
    And the engine fault switches '<switches>'
    When 5 tokens of version "<version>" are requested
    Then the engine request fails with reason "<reason>" after it was sent

    Examples:
      | switches                 | version | reason           |
      | {"fail_requests": true}  | v1      | failed           |
      | {"leaving": true}        | v1      | leaving          |
      | {}                       | v9      | version_mismatch |

  Scenario: A refused connection is reported as not sent
    # Guards against an unknown outcome for a request that never reached an
    # engine.
    When 5 tokens are requested from a port without a listener
    Then the engine request fails with reason "connect" before it was sent

  Scenario Outline: A malformed or interrupted answer is an error with a reason
    # Guards against an uncaught exception when an engine or the network
    # sends invalid bytes.
    When a server answers with <bytes>
    Then the engine request fails with reason "<reason>" after it was sent

    Examples:
      | bytes                  | reason      |
      | nothing                | connection  |
      | not HTTP               | connection  |
      | a broken chunk         | connection  |
      | half an event          | ended_early |
      | an oversized event     | protocol    |
      | an event without JSON  | protocol    |
      | an event of other type | protocol    |
      | a failure event        | failed      |

  Scenario: Random events are decoded or rejected
    # Guards against values of the wrong type that pass the adapter and break
    # the token sequence later.
    Then random event streams give typed events or a protocol error

  Scenario: Chunk boundaries do not change the tokens
    # Guards against events dropped or damaged when a chunk ends inside them.
    Then random cuts of a valid stream give the same tokens

  Scenario: Token events that arrive together are merged
    # Guards against one write per token to the caller.
    When three token events arrive in one chunk
    Then the adapter yields one event with all their tokens

  Scenario: An engine that checks fencing numbers refuses an old one
    Given a stand-in engine process
    When the orders 5, 4 and 6 are sent to the engine
    Then their outcomes are "accepted, refused 5, accepted"

  Scenario: An engine that ignores fencing numbers accepts an old one
    Given a stand-in engine process that ignores fencing numbers
    When the orders 5, 4 and 6 are sent to the engine
    Then their outcomes are "accepted, accepted, accepted"

  Scenario: The load report of a leaving engine has the state "leaving"
    # Guards against new work sent to an engine that is shutting down.
    Given a stand-in engine process
    And the engine fault switches '{"leaving": true}'
    Then its load report has the state "leaving" and version "v1"

  Scenario: An unresponsive report connection fails one read only
    # Guards against load reads that keep using a dead connection, so that
    # the state "leaving" is never read.
    Given a stand-in engine process
    When load reports are read before and after their connection hangs
    Then one load request fails and the next one reports "leaving"

  Scenario Outline: Malformed load reports are protocol errors
    When a server answers the load request with '<body>'
    Then the load request fails with reason "protocol"

    Examples:
      | body                                                                                      |
      | []                                                                                        |
      | {                                                                                         |
      | {"queue_length": -1, "running": 0, "state": "live", "version": "", "measured_wall_s": 0}   |
      | {"queue_length": 0, "running": 0, "state": "gone", "version": "", "measured_wall_s": 0}    |
      | {"queue_length": 0, "running": 0, "state": "live", "version": 1, "measured_wall_s": 0}     |
