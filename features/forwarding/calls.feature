Feature: Plain calls over real connections

  Scenario Outline: A lookup is retried at another endpoint
    # A repeatable call must not fail because of one faulty answer.
    Given endpoints that play "<first>" and "complete"
    When a repeatable call is made
    Then the caller gets status 200 and the body "fine"
    And the endpoints received 2 requests

    Examples:
      | first         |
      | reset         |
      | close         |
      | error         |
      | declined      |
      | misdirected   |
      | truncated     |
      | garbage       |
      | encoded       |
      | other request |

  Scenario Outline: A non-repeatable call is not repeated once it may have run
    # A retry after a lost answer would file a complaint twice.
    Given endpoints that play "<first>" and "complete"
    When a non-repeatable call is made
    Then the outcome is unknown
    And the endpoints received 1 requests

    Examples:
      | first         |
      | reset         |
      | close         |
      | truncated     |
      | garbage       |
      | other request |

  Scenario: A non-repeatable call is retried after proof that it did not run
    # A call that one endpoint declined must not be refused while another
    # endpoint can serve it.
    Given endpoints that play "declined" and "complete"
    When a non-repeatable call is made
    Then the caller gets status 200 and the body "fine"

  Scenario: The endpoint's error answer is returned unchanged
    # The caller must see what the endpoint answered, not a substitute.
    Given endpoints that play "error" and "complete"
    When a non-repeatable call is made
    Then the caller gets status 500 and the body "broken"

  Scenario: An unresponsive endpoint is hedged within the objective
    # A lookup must not wait for an endpoint that hangs.
    Given endpoints that play "hang" and "complete"
    When a repeatable call is made
    Then the caller gets status 200 and the body "fine"
    And it took at most 400 ms

  Scenario: The time limit of the route ends a call at once
    # The caller must not get an answer after the route's limit.
    Given endpoints that play "hang" and "hang"
    When a non-repeatable call is made with 300 ms left
    Then the outcome is unknown and late
    And it took at most 400 ms

  Scenario: A call that reached no endpoint is refused as not run
    # The outcome must not be reported as unknown if nothing was sent.
    Given endpoints that refuse connections
    When a non-repeatable call is made
    Then the call is refused as not run

  Scenario: A stale answer on a reused connection is skipped
    # A caller must not get the answer to an earlier request.
    Given an endpoint that plays "complete" and "stale answer first"
    When two repeatable calls are made one after the other
    Then the caller gets status 200 and the body "second"

  Scenario: Bytes on an idle connection close it
    # Unexpected bytes must not be read as the next answer.
    Given an endpoint that plays "complete and more" and "complete"
    When two repeatable calls are made one after the other
    Then the caller gets status 200 and the body "fine"
    And the endpoints received 2 connections

  Scenario: An answer without a length ends with its connection
    # A body that ends in two parts must be read up to the end of the
    # connection, and not be taken as complete before.
    Given endpoints that play "unframed" and "complete"
    When a non-repeatable call is made
    Then the caller gets status 200 and the body "all of it"

  Scenario: Headers reserved to the entry are not forwarded from a caller
    # A caller must not be able to name the memory of another request.
    Given endpoints that play "complete" and "complete"
    When a non-repeatable call is made
    Then the endpoint received "expected-instance: e0"
    And the endpoint received "tenant: acme"
    And the endpoint received "deadline-ms: "
    And the endpoint did not receive "kv-from"

  Scenario: Attempts are counted by the state of their endpoint
    # Guards against requests at endpoints that have gone which no log line
    # and no metric shows.
    Given an endpoint that plays "complete" and "complete"
    And the row of endpoint 1 expired in an outage of the store
    When a non-repeatable call is made
    Then the caller gets status 200 and the body "fine"
    And 1 attempt was made at endpoints in the state "missing"

  Scenario: A second attempt that finds no endpoint takes no retry
    # Guards against streams of the service that are cut because calls used up
    # the retry budget for attempts that were never sent.
    Given an endpoint that plays "hang" and "hang"
    When a repeatable call is made
    Then the retry budget is complete

  Scenario: A connection that was established while the event loop was held up
    # Guards against sound endpoints that count as lost, here and at the other
    # entries, because this process did not run for longer than the limit.
    Given an endpoint that plays "complete" and "complete"
    When the event loop is held up for 400 ms while a call connects
    Then the caller gets status 200 and the body "fine"
    And no endpoint counts as lost

  Scenario: A connection that is not established when the event loop runs again
    # Guards against endpoints that seem to accept a connection because this
    # process did not run when the limit passed.
    Given an endpoint whose accept queue is full
    When the event loop is held up for 400 ms while a call connects
    Then the endpoint counts as lost

  Scenario: An answer that is there when the deadline is noticed
    # Guards against an unknown outcome of a call that is answered.
    When the event loop is held up beyond the deadline once the endpoint answers
    Then the caller gets status 200 and the body "fine"

  Scenario: A proof that is there when the deadline is noticed
    # Guards against an unknown outcome of a call that certainly did not run.
    When the event loop is held up beyond the deadline once the endpoint declines
    Then the call is refused as not run
