Feature: Streams over real connections

  Scenario: A crash in mid stream does not show
    # Guards against lost, doubled or mixed events.
    Given stream endpoints that play "head 1 2 crash" and "head 3 4 end"
    When a stream is made
    Then its caller gets the events 1 to 4 and the end
    And endpoint 2 was asked to go on after event 2 from the copy of 1

  Scenario: A cut event is not passed on
    # Guards against half an event before the resumed one.
    Given stream endpoints that play "head 1 half crash" and "head 2 3 end"
    When a stream is made
    Then its caller gets the events 1 to 3 and the end

  Scenario: A dark endpoint is left within the longest pause
    # Guards against streams that wait for an endpoint that sends no reset.
    Given stream endpoints that play "head 1 2 hang" and "head 3 4 end"
    When a stream is made
    Then its caller gets the events 1 to 4 and the end
    And it took at most 700 ms
    And endpoint 1 was left

  Scenario: An endpoint without the copy is followed by a plain resume
    # Guards against giving up when the copy found no room.
    Given stream endpoints that play "head 1 crash, head 2 end" and "declined, declined"
    When a stream is made
    Then its caller gets the events 1 to 2 and the end

  Scenario: A stream that may not be resumed is broken off
    # Guards against joining two runs of a request that runs once.
    Given stream endpoints that play "head 1 crash" and "head 2 end"
    When a stream that may not be resumed is made
    Then its caller gets the event 1 and no end

  Scenario: A caller that comes back gets only what it lacks
    # Guards against repeated events after a reconnect.
    Given stream endpoints that play "head 3 4 end" and "hang"
    When a stream is made after event 2
    Then its caller gets the events 3 to 4 and the end

  Scenario: Every endpoint is full
    # Guards against holding a stream that nobody can serve.
    Given stream endpoints that play "declined, declined" and "declined, declined"
    When a stream is made with 1300 ms left
    Then the stream is refused as not run

  Scenario: An end inside an event is no end
    # Guards against an answer that looks complete and is not.
    Given stream endpoints that play "head 1 half end" and "head 2 end"
    When a stream is made
    Then its caller gets the events 1 to 2 and the end
