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

  Scenario: A stream without framing is not complete at the end of its connection
    # An engine that crashes closes its connections as one that has finished,
    # so the stream must be continued after its last event.
    Given stream endpoints that play "unframed 1 2 end" and "head 3 4 end"
    When a stream is made
    Then its caller gets the events 1 to 4 and the end

  Scenario: A stream without framing that may not be resumed has no end
    # An answer that may be cut must not look complete.
    Given stream endpoints that play "unframed 1 end" and "head 2 end"
    When a stream that may not be resumed is made
    Then its caller gets the event 1 and no end
