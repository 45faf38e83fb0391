Feature: Streams at endpoints that fall silent

  Scenario Outline: No stream is cut as its endpoint falls silent and goes on
    # Guards against streams that leave a silent endpoint, find no place
    # elsewhere and are cut, although the endpoint would have gone on.
    When streams run for 120 s at endpoints that fall silent for 1.2 s while the others are "<others>"
    Then no stream is cut
    But streams that leave at once are cut

    Examples:
      | others     |
      | full       |
      | limited    |
      | no retries |

  Scenario: Streams leave a dead endpoint as soon as they notice its silence
    # Guards against streams that wait at an endpoint that does not go on
    # although others have room.
    When streams run for 120 s beside one endpoint that falls silent for 5 s
    Then streams move within 0.5 s of silence

  Scenario Outline: A stream stays at a silent endpoint without a successor
    # Guards against cutting a stream for a silence of a second.
    Given stream endpoints that play "head 1 silence 2 end" and "head 2 end"
    And the successor has <obstacle>
    When a stream is made
    Then its caller gets the events 1 to 2 and the end
    And endpoint 2 received no request

    Examples:
      | obstacle            |
      | no retries          |
      | no permit           |
      | no free slot        |
      | been declared lost  |

  Scenario: A stream stays at an endpoint whose address another row has
    # Guards against cutting a stream whose endpoint goes on, because another
    # writer left a row with its address.
    Given stream endpoints that play "head 1 silence 2 end" and "head 2 end"
    And endpoint 2 is full and endpoint 1 counts as replaced while the stream runs
    When a stream is made
    Then its caller gets the events 1 to 2 and the end
    And endpoint 2 received no request

  Scenario: A stream leaves a silent endpoint once it gets a permit
    # Guards against streams that stay at a dead endpoint after they were
    # denied a permit once.
    Given stream endpoints that play "head 1 hang" and "head 2 3 end"
    And the successor has a permit after 0.5 s
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And it took at most 1900 ms
    And the connection to endpoint 1 was closed

  Scenario: The search for a successor takes no retry that is not made
    # Guards against streams that use up the retry budget by waiting.
    Given stream endpoints that play "head 1 silence 2 end" and "head 2 end"
    And the successor has no permit
    When a stream is made
    Then the retry budget is complete
    And endpoint 1 does not count as lost
