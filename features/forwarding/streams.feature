Feature: Streams over real connections

  Scenario: A crash during a stream is invisible to the caller
    # Events must not be lost, duplicated or mixed when a stream moves.
    Given stream endpoints that play "head 1 2 crash" and "head 3 4 end"
    When a stream is made
    Then its caller gets the events 1 to 4 and the end
    And endpoint 2 was asked to resume after event 2 from the copy of 1

  Scenario: A truncated event is not forwarded
    # The caller must not get half an event before the resumed one.
    Given stream endpoints that play "head 1 half crash" and "head 2 3 end"
    When a stream is made
    Then its caller gets the events 1 to 3 and the end

  Scenario Outline: An event that is read with wrong bytes reaches the caller
    # Guards against an answer that lacks an event and ends as complete: the
    # events before the wrong bytes must be passed on, and each only once.
    Given stream endpoints that play "<first>" and "<second>"
    When a stream is made
    Then its caller gets the events 1 to 4 and the end
    And endpoint 2 was asked to resume after event 2 from the copy of 1

    Examples:
      | first                    | second       |
      | head 1 spoilt hang       | head 3 4 end |
      | head 1 2 spoilt hang     | head 3 4 end |
      | unframed 1 spoilt hang   | head 3 4 end |
      | head 1 misframed hang    | head 3 4 end |

  Scenario: Events of the first read reach the caller if it is damaged
    # Guards against an answer without its first events.
    Given stream endpoints that play "spoiltfirst hang" and "head 2 3 4 end"
    When a stream is made
    Then its caller gets the events 1 to 4 and the end

  Scenario: An unresponsive endpoint is replaced within the allowed gap
    # An unreachable endpoint sends no reset, so a stream could wait for it
    # until its deadline.
    Given stream endpoints that play "head 1 2 hang" and "head 3 4 end"
    When a stream is made
    Then its caller gets the events 1 to 4 and the end
    And it took at most 700 ms
    And the connection to endpoint 1 was closed

  Scenario: A stream is resumed without its copy if the backup declines
    # A backup without memory for the copy must not end the stream.
    Given stream endpoints that play "head 1 crash, head 2 end" and "declined, declined"
    When a stream is made
    Then its caller gets the events 1 to 2 and the end

  Scenario: A stream is not resumed at a backup that is leaving
    # Guards against requests at an endpoint long after it announced that it
    # leaves: a stream may crash seconds after its backup was chosen.
    Given stream endpoints that play "head 1 2 crash, head 3 4 end" and "head 3 4 end"
    And endpoint 2 announces during the stream that it leaves
    When a stream is made
    Then its caller gets the events 1 to 4 and the end
    And endpoint 2 received no request

  Scenario: A stream that may not be resumed is interrupted
    # Two runs of a request that must run once must not be joined.
    Given stream endpoints that play "head 1 crash" and "head 2 end"
    When a stream that may not be resumed is made
    Then its caller gets the event 1 and no end

  Scenario: A reconnected caller gets only the missing events
    # A reconnect must not repeat events.
    Given stream endpoints that play "head 3 4 end" and "hang"
    When a stream is made after event 2
    Then its caller gets the events 3 to 4 and the end

  Scenario: A stream is refused if every endpoint is full
    # A stream that no endpoint can serve must not be held to its deadline.
    Given stream endpoints that play "declined, declined" and "declined, declined"
    When a stream is made with 1300 ms left
    Then the stream is refused as not run

  Scenario: An end inside an event does not complete the stream
    # An answer that is truncated within an event must not look complete.
    Given stream endpoints that play "head 1 half end" and "head 2 end"
    When a stream is made
    Then its caller gets the events 1 to 2 and the end

  Scenario: A stream that has begun waits for the retry budget
    # Guards against cutting an answer that is half delivered because the
    # retry budget is empty for a moment.
    Given stream endpoints that play "head 1 crash" and "head 2 3 end"
    And the retry budget is empty for 500 ms
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And it took at most 1200 ms

  Scenario: A stream that has not begun does not wait for the retry budget
    # Guards against holding a request without an answer back although its
    # caller could come again.
    Given stream endpoints that play "head crash" and "head 1 end"
    And the retry budget is empty for 500 ms
    When a stream is made
    Then the outcome of the stream is unknown
    And it took at most 400 ms

  Scenario: A long prompt is sent after a short one
    # Guards against an entry that refuses all long prompts after its restart,
    # as the time of its first stream, a short one, is not spent on its tokens.
    Given stream endpoints that take 0.1 s to their first of 12 events
    When a stream of 16 prompt tokens is made
    And a stream of 8000 prompt tokens is made
    Then the callers of both get the events 1 to 12 and the end
