Feature: Late, extra and incomplete answers of endpoints

  Scenario Outline: An extra answer without an id is not taken for the next one
    # A late copy on a reused connection must neither reach another caller
    # nor count as proof that a running call did not run.
    Given an endpoint that plays "complete" and "<extra>"
    When two non-repeatable calls are made one after the other
    Then the outcome is unknown
    And the endpoints received 2 requests

    Examples:
      | extra              |
      | late refusal first |
      | late answer first  |

  Scenario: A late copy of a decline does not decline the next attempt
    # The second attempt has the id of the first one. Taking the copy for its
    # answer would run the call a second time.
    Given an endpoint that plays "declined twice" and "complete"
    When a non-repeatable call is made
    Then the caller gets status 200 and the body "fine"
    And the endpoints received 2 requests
    And the endpoints received 2 connections

  Scenario: A stream without an id is not passed on
    # The events may belong to another request.
    Given stream endpoints that play "unnamed 1 end" and "head 1 2 end"
    When a stream is made
    Then its caller gets the events 1 to 2 and the end

  Scenario Outline: A refusal without proof leaves the outcome unknown
    # 429 and 503 promise callers that nothing ran; an endpoint's answer
    # without its own statement does not.
    Given endpoints that play "<refusal>" and "complete"
    When a non-repeatable call is made
    Then the outcome is unknown
    And the endpoints received 1 requests

    Examples:
      | refusal                 |
      | refused without proof   |
      | throttled without proof |

  Scenario: A stream that was refused without proof has an unknown outcome
    # The endpoint's 503 must not reach the caller, who takes it as not run.
    Given stream endpoints that play "unproven, unproven" and "unproven, unproven"
    When a stream that may not be resumed is made
    Then the outcome of the stream is unknown

  Scenario: A plain answer without a length that is reset is not complete
    # Half of an answer must not look like a success.
    Given endpoints that play "unframed reset" and "complete"
    When a non-repeatable call is made
    Then the outcome is unknown

  Scenario: A plain answer without a length ends early with its endpoint
    # Guards against half of an answer that looks like a success: the
    # connections of a killed process end in the ordinary way.
    Given endpoints that play "unframed exit" and "complete"
    When a non-repeatable call is made
    Then the outcome is unknown

  Scenario: A stream without framing that ends with its endpoint goes on
    # Guards against a stream that ends as complete in the middle, as its
    # endpoint was killed between two events.
    Given stream endpoints that play "unframed 1 2 exit" and "head 3 4 end"
    When a stream is made
    Then its caller gets the events 1 to 4 and the end

  Scenario: A whole stream without framing is not run a second time
    # Guards against running each such stream at a second endpoint, which
    # reads its prompt in vain.
    Given stream endpoints that play "unframed 1 2 end" and "head 3 4 end"
    When a stream is made
    Then its caller gets the events 1 to 2 and the end
    And endpoint 2 received no request

  Scenario: A whole stream without framing that may not be resumed has its end
    # Guards against breaking off an answer that is complete.
    Given stream endpoints that play "unframed 1 2 end" and "head 3 4 end"
    When a stream that may not be resumed is made
    Then its caller gets the events 1 to 2 and the end
    And endpoint 2 received no request

  Scenario: A stream without framing that is reset goes on elsewhere
    # Guards against taking a crash of the engine for the end of its answer.
    Given stream endpoints that play "unframed 1 2 crash" and "head 3 4 end"
    When a stream is made
    Then its caller gets the events 1 to 4 and the end

  Scenario: A stream without framing that ends inside an event goes on elsewhere
    # Guards against passing half an event or a part of the events as whole.
    Given stream endpoints that play "unframed 1 half end" and "head 2 3 end"
    When a stream is made
    Then its caller gets the events 1 to 3 and the end

  Scenario: A stream without framing and events goes on elsewhere
    # Guards against taking the end of a connection for an empty answer.
    Given stream endpoints that play "unframed end" and "head 1 2 end"
    When a stream is made
    Then its caller gets the events 1 to 2 and the end

  Scenario Outline: A cut stream without framing that may not be resumed has no end
    # Guards against an answer that may be cut and looks complete.
    Given stream endpoints that play "<script>" and "head 2 end"
    When a stream that may not be resumed is made
    Then its caller gets the event 1 and no end

    Examples:
      | script              |
      | unframed 1 crash    |
      | unframed 1 exit     |
      | unframed 1 half end |
