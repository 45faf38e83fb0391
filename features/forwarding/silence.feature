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

  Scenario Outline: A stream goes on at a silent endpoint if its successor fails
    # Guards against giving up an endpoint that goes on before another one
    # has accepted the stream: the memory of the other one is not known here.
    Given stream endpoints that play "<silent>" and "<successor>"
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And endpoint 1 received one request and endpoint 2 at most <requests>
    And no attempt is counted any more

    # A stream that was declined asks again after 0.2 s. A route allows three
    # endpoints to run it.
    Examples:
      | silent                         | successor                              | requests |
      | head 1 silence 2 3 end         | declined, declined, declined, declined | 4        |
      | head 1 half silence rest 3 end | declined, declined, declined, declined | 4        |
      | head 1 silence 2 3 end         | crash, crash, crash                    | 2        |
      | head 1 silence 2 3 end         | error, error, error                    | 2        |
      | head 1 silence 2 3 end         | unknown, unknown, unknown              | 2        |
      | head 1 silence 2 3 end         | unproven, unproven, unproven           | 2        |

  Scenario: A stream stays at a silent endpoint if its successor is dead
    # Guards against a stream that is cut, and a retry that is used up, as
    # its successor can't be connected to.
    Given stream endpoints that play "head 1 silence 2 3 end" and "hang"
    And the successor refuses connections
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And the retry budget is complete
    And no attempt is counted any more

  Scenario: A stream stays at an endpoint without new events if its successor declines it
    # Guards against comments that count as progress, and against giving up an
    # endpoint that sends some and goes on.
    Given stream endpoints that play "head 1 pause comment pause comment pause comment pause comment pause comment pause comment pause comment pause comment 2 3 end" and "declined, declined, declined, declined"
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And endpoint 1 received one request and endpoint 2 at most 4

  Scenario: A successor is cancelled as soon as the silent endpoint goes on
    # Guards against two runs of a stream at once, which cost tokens, and
    # against events that come twice.
    Given stream endpoints that play "head 1 silence 2 3 silence 4 end" and "hang"
    And the time with two endpoints is limited to 10 s
    When a stream is made
    Then its caller gets the events 1 to 4 and the end
    And endpoint 2 was left within 0.4 s after event 2 of endpoint 1
    And no attempt is counted any more

  Scenario: A successor is cancelled before a slow caller is sent to
    # Guards against work at two endpoints for as long as a caller does not
    # read.
    Given stream endpoints that play "head 1 silence 2 3 end" and "hang"
    And the time with two endpoints is limited to 10 s
    And the caller takes 1 s for event 2
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And endpoint 2 was left within 0.4 s after event 2 of endpoint 1

  Scenario: A successor that answers in the same moment goes on
    # Guards against a stream that goes on at its first endpoint although the
    # second one has run it, which the rules count as running twice.
    Given stream endpoints that play "head 1 together 2 hang" and "together head 2 3 end"
    And the time with two endpoints is limited to 10 s
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And the endpoints received these counts of requests: "1 1"
    And the connection to endpoint 1 was closed

  Scenario: A silent endpoint is left while its successor has not answered
    # Guards against a stream that is worked on at two endpoints at once:
    # 400 ms is the limit of the rules.
    Given stream endpoints that play "head 1 hang" and "pause pause pause pause pause pause pause pause head 2 3 end"
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And endpoint 1 was left within 0.4 s after endpoint 2 had the request

  Scenario: A silent endpoint is left once its successor has answered
    # Guards against mixing two answers, and against half an event of the one
    # before an event of the other.
    Given stream endpoints that play "head 1 half silence rest 3 end" and "head 2 3 pause pause pause pause pause pause pause pause 4 end"
    When a stream is made
    Then its caller gets the events 1 to 4 and the end
    And the endpoints received these counts of requests: "1 1"
    And no attempt is counted any more

  Scenario: Both endpoints of a stream are left at its deadline
    # Guards against work for a stream that nobody waits for any more.
    Given stream endpoints that play "head 1 hang" and "hang"
    And the time with two endpoints is limited to 10 s
    When a stream is made with 1000 ms left
    Then its caller gets the event 1 and the reason "deadline"
    And the connection to endpoint 1 was closed
    And the connection to endpoint 2 was closed
    And no attempt is counted any more

  Scenario: The copy at a backup is asked for once
    # Guards against retries that can't succeed: a copy can be used once, and
    # its endpoint declines the second request for it. Also guards against a
    # stream that waits at a dead endpoint for long after it was declined.
    Given stream endpoints that play "head 1 hang" and "declined, head 2 3 end"
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And it took at most 1200 ms
    And endpoint 2 was asked for a copy in these requests: "1 0"

  Scenario: A stream that may not be resumed is not offered to another endpoint
    # Guards against running such a stream twice.
    Given stream endpoints that play "head 1 silence 2 end" and "head 2 end"
    When a stream that may not be resumed is made
    Then its caller gets the events 1 to 2 and the end
    And endpoint 2 received no request

  Scenario Outline: A stream that was declined asks full endpoints again
    # Guards against a stream that waits at a dead endpoint for as long as
    # others keep away from full ones, and against asking full endpoints while
    # another one has room.
    Given endpoints in the states "<states>" beside a silent one
    When a stream that may ask full endpoints from <from> s on looks at 10 s
    Then it may go on at the endpoints "<numbers>"

    Examples:
      | states         | from | numbers |
      | full room full | 9    | 2       |
      | full full      | 9    | 1 2     |
      | full full      | 11   |         |
      | full lost      | 9    | 1       |
      | full taken     | 9    | 1       |
      | lost taken     | 9    |         |

  Scenario Outline: One of two endpoints goes on with a stream
    # Guards against a stream that goes on at both endpoints or at none.
    Given a successor in the state "<state>" of a stream
    When the silent endpoint <does> at <now> s of 0.25 s with both
    Then the stream is to <step>

    Examples:
      | state      | does           | now  | step |
      | connecting | stays silent   | 0.1  | wait |
      | connecting | stays silent   | 0.3  | wait |
      | connecting | sends an event | 0.1  | stay |
      | sent       | stays silent   | 0.1  | wait |
      | sent       | stays silent   | 0.25 | move |
      | sent       | sends an event | 0.1  | stay |
      | sent       | sends an event | 0.3  | stay |
      | accepted   | stays silent   | 0.1  | move |
      | accepted   | sends an event | 0.1  | move |
      | failed     | stays silent   | 0.1  | stay |
      | failed     | sends an event | 0.3  | stay |

  Scenario: An attempt whose caller leaves at its first event is counted once
    # Guards against an endpoint that seems to begin fewer streams than it
    # does, here and at the other entries.
    When the caller of an attempt leaves as its first event is passed on
    Then no attempt seems to begin at its endpoint

  Scenario: Two endpoints never work on a stream for long
    # Guards against an order of events in which a stream goes on at two
    # endpoints, is worked on at both for longer than the 400 ms of the rules,
    # or leaves an endpoint that goes on for one that did not accept it in time.
    When 2000 handovers with events at random times are replayed
    Then each stream goes on at one endpoint
    And no silent endpoint keeps a request for over 0.4 s beside a successor
    And no stream goes on at a successor that failed
    And a stream whose silent endpoint sent first stays there
