Feature: Requests that a planned stop interrupts

  Scenario Outline: A request that a planned stop ends gets an answer
    # Guards against connections that are closed without an answer when the
    # process ends, and without a trace in logs and metrics.
    Given an entry whose endpoint "<behaviour>"
    When a "<kind>" request waits for "<wait>" as the time to answer comes
    Then its caller gets a complete answer <status> and a closed connection
    And the endpoint gets no request after that
    And a log line and a counter tell that it waited for "<wait>"

    Examples:
      | kind       | behaviour | wait     | status |
      | once       | hang      | body     | 503    |
      | once       | declined  | turn     | 503    |
      | repeatable | declined  | turn     | 503    |
      | once       | hang      | answer   | 504    |
      | repeatable | hang      | answer   | 504    |
      | stream     | declined  | endpoint | 503    |
      | stream     | hang      | answer   | 504    |

  Scenario: A stream that has begun is cut last
    # Guards against streams that are cut while others still get answers, and
    # against half of a stream that looks complete.
    Given an entry whose endpoint "begins"
    When a "stream" request waits for "events" as the time to answer comes
    Then its caller still waits
    When the time to cut comes
    Then its caller sees a reset connection after half of the stream
    And a log line and a counter tell that it waited for "events"

  Scenario: A stream whose answer begins in a stop announces the close
    # Guards against a kept connection on which the next request crosses the
    # end of the process.
    Given an entry whose endpoint "begins late"
    When a "stream" request waits for "answer" as a stop begins
    Then its caller gets a whole stream and a closed connection
