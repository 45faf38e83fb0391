Feature: HTTP adapter of model engines

  Scenario: A stream brings the tokens that the seed determines
    Given a stand-in engine process
    When 40 tokens are generated
    Then the engine tokens are the expected ones
    And the engine stream has its end mark

  Scenario: A prefix is continued and not repeated
    # Guards against an answer that starts over after a loss.
    Given a stand-in engine process
    When 40 tokens are generated after a prefix of 15
    Then the engine tokens are the expected ones from 15

  Scenario: A known prefix costs no second prefill
    # Guards against a stand-in that hides the cost of lost affinity.
    Given a stand-in engine process
    When 40 tokens are generated
    And the same prompt is generated after a prefix of 15
    Then the second stream computed 0 prefill tokens

  Scenario: A stream is resumed on a new connection while the old is silent
    # Guards against a prefill paid for a lost connection.
    Given a stand-in engine process
    When the connections go silent after 10 of 400 tokens
    And the engine stream is resumed at 10 by a newer attempt
    Then the engine tokens are the expected ones
    And the engine computed 400 tokens for it

  Scenario: An older attempt cannot take a stream back
    # Guards against two entries that read one stream.
    Given a stand-in engine process
    When the connections go silent after 10 of 400 tokens
    And the engine stream is resumed at 10 by a newer attempt
    And the engine stream is resumed at 10 by the first attempt
    Then the resume fails with reason "superseded"

  Scenario: A stream that was begun anew elsewhere is not resumed
    # Guards against an entry that goes on for a caller that moved away.
    Given a stand-in engine process
    When the connections go silent after 10 of 400 tokens
    And the same request is generated again by attempt 1001
    And the engine stream is resumed at 10 by a newer attempt
    Then the resume fails with reason "superseded"

  Scenario: A cancelled stream generates no more
    # Guards against tokens computed for no one.
    Given a stand-in engine process
    When the engine stream is cancelled after 10 of 10000 tokens
    Then the engine log says "cancelled" before 10000 tokens

  Scenario: A stream that no one reads ends after a bounded time
    # Guards against engines that fill up with abandoned streams.
    Given a stand-in engine process
    When the engine stream is abandoned after 10 of 100000 tokens
    Then the engine log says "orphaned" before 100000 tokens

  Scenario Outline: A refusal of the engine is told by its reason
    Given a stand-in engine process
    And the engine fault switches '<switches>'
    When 5 tokens of version "<version>" are asked for
    Then the engine request fails with reason "<reason>" after it was sent

    Examples:
      | switches                 | version | reason           |
      | {"fail_requests": true}  | v1      | failed           |
      | {"leaving": true}        | v1      | leaving          |
      | {}                       | v9      | version_mismatch |

  Scenario: A refused connection is "not sent"
    # Guards against "unknown" for an order that no engine saw.
    When 5 tokens are asked for where nothing listens
    Then the engine request fails with reason "connect" before it was sent

  Scenario Outline: Any bytes end as tokens or as a numbered loss
    # Guards against an uncaught exception on hostile or broken streams.
    When a server answers with <bytes>
    Then the engine request fails with reason "<reason>" after it was sent

    Examples:
      | bytes                  | reason      |
      | nothing                | connection  |
      | no HTTP at all         | connection  |
      | a broken chunk         | connection  |
      | half an event          | ended_early |
      | an event without end   | protocol    |
      | an event of no JSON    | protocol    |
      | an event of other type | protocol    |
      | a failure event        | failed      |

  Scenario: Random events decode or are refused
    # Guards against types that pass the adapter and break the sequence.
    Then random event streams give typed events or a protocol loss

  Scenario: Cutting a stream anywhere gives the same tokens
    # Guards against events lost at chunk borders.
    Then random cuts of a valid stream give the same tokens

  Scenario: Events that arrived together are one event
    # Guards against one write for each token.
    When three token events arrive in one chunk
    Then the adapter yields one event with all their tokens

  Scenario: An engine that checks fencing numbers refuses an old one
    Given a stand-in engine process
    When the orders 5, 4 and 6 are sent to the engine
    Then their outcomes are "accepted, refused 5, accepted"

  Scenario: An engine that ignores fencing numbers takes an old one
    Given a stand-in engine process that ignores fencing numbers
    When the orders 5, 4 and 6 are sent to the engine
    Then their outcomes are "accepted, accepted, accepted"

  Scenario: A leaving engine says so in its load report
    # Guards against new work sent to an engine that leaves.
    Given a stand-in engine process
    And the engine fault switches '{"leaving": true}'
    Then its load report says "leaving" and version "v1"

  Scenario: A kept report connection that goes silent fails one read
    # Guards against an engine whose leaving is never read again.
    Given a stand-in engine process
    When load reports are read before and after their connection goes silent
    Then one load request fails and the next one reports "leaving"

  Scenario Outline: Bad load reports are a loss
    When a server answers the load request with '<body>'
    Then the load request fails with reason "protocol"

    Examples:
      | body                                                                                      |
      | []                                                                                        |
      | {                                                                                         |
      | {"queue_length": -1, "running": 0, "state": "live", "version": "", "measured_wall_s": 0}   |
      | {"queue_length": 0, "running": 0, "state": "gone", "version": "", "measured_wall_s": 0}    |
      | {"queue_length": 0, "running": 0, "state": "live", "version": 1, "measured_wall_s": 0}     |
