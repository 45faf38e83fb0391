Feature: Endpoints that send bytes without end

  Scenario Outline: A call ends when an endpoint floods it
    # Bytes that never form an answer must not be read or stored without
    # end, nor keep the event loop from serving other requests.
    Given an endpoint that floods with "<bytes>" and a complete one
    When a repeatable call of 900 ms is made
    Then the caller gets status 200 and the body "fine"
    And other requests were delayed by at most 120 ms
    And the flooding endpoint sent at most 16 MiB
    And the connection to the flooding endpoint was reset
    And the flooding endpoint is ejected

    Examples:
      | bytes                    |
      | a head                   |
      | interim answers          |
      | interim heads            |
      | a body                   |
      | chunk extensions         |
      | trailers                 |
      | many short interim lines |
      | many short trailers      |
      | a body without a length  |

  Scenario: A call is hedged when an endpoint floods it with small chunks
    # Such bytes can't be told from a long sound answer, so the hedged
    # attempt answers. Parsing them must not delay other requests.
    Given an endpoint that floods with "chunks of one byte" and a complete one
    When a repeatable call of 900 ms is made
    Then the caller gets status 200 and the body "fine"
    And other requests were delayed by at most 120 ms
    And the flooding endpoint sent at most 16 MiB
    And the connection to the flooding endpoint was reset

  Scenario Outline: A call that must run once has an unknown outcome
    # Once it was sent, a call may have run, whatever bytes follow.
    Given an endpoint that floods with "<bytes>" and a complete one
    When a non-repeatable call of 900 ms is made
    Then the call may have run and was sent once
    And the flooding endpoint is ejected

    Examples:
      | bytes              |
      | a head             |
      | interim answers    |
      | a body             |
      | chunks of one byte |

  Scenario Outline: A call ends when an endpoint sends single bytes
    # A byte now and then must not hold a call beyond its deadline, and the
    # endpoint must not receive the next calls.
    Given an endpoint that slowly sends "<bytes>" and a complete one
    When a non-repeatable call of 900 ms is made
    Then the call may have run and was sent once
    And it took at most 1000 ms
    And the connection to the flooding endpoint was reset
    And the flooding endpoint is ejected

    Examples:
      | bytes           |
      | a head          |
      | interim answers |
      | a body          |

  Scenario Outline: An answer to an earlier request has no end
    # A late answer on a reused connection must not be skipped without end.
    Given an endpoint that answers once, then floods with "<bytes>"
    When two non-repeatable calls of 900 ms are made
    Then the call may have run and was sent once
    And it took at most <limit_ms> ms
    And other requests were delayed by at most 120 ms
    And the flooding endpoint sent at most 16 MiB
    And the connection to the flooding endpoint was reset

    Examples:
      | bytes                    | limit_ms |
      | an earlier answer        | 800      |
      | an earlier answer slowly | 800      |

  Scenario Outline: A stream continues when an endpoint floods it
    # Bytes without a new event must not count as progress: the stream must
    # go on at another endpoint within the allowed gap.
    Given a stream endpoint that floods with "<bytes>" and a complete one
    When a stream of 3000 ms is made
    Then the caller gets all 4 events
    And it took at most 1300 ms
    And other requests were delayed by at most 120 ms
    And the flooding endpoint sent at most 16 MiB
    And the connection to the flooding endpoint was reset

    Examples:
      | bytes                     |
      | a head                    |
      | interim answers           |
      | a body of an error        |
      | comments                  |
      | blank lines               |
      | an event without end      |
      | repeated events           |
      | early comments            |
      | early blank lines         |

  Scenario Outline: A stream continues when an endpoint sends single bytes
    # A stalled stream must not stay alive through a byte now and then.
    Given a stream endpoint that slowly sends "<bytes>" and a complete one
    When a stream of 6000 ms is made
    Then the caller gets all 4 events
    And it took at most <limit_ms> ms
    And the connection to the flooding endpoint was reset

    Examples:
      | bytes                | limit_ms |
      | a head               | 3000     |
      | interim answers      | 3000     |
      | a body of an error   | 3000     |
      | comments             | 1300     |
      | blank lines          | 1300     |
      | an event without end | 1300     |
      | repeated events      | 1300     |

  Scenario: A stalled stream ends at its deadline
    # Comments before the first event may come from a sound endpoint whose
    # queue is long, so only the deadline ends the attempt. The endpoint must
    # be judged by it.
    Given a stream endpoint that slowly sends "early comments" and a complete one
    When a stream of 1900 ms is made
    Then the stream may have run
    And it took at most 2100 ms
    And the connection to the flooding endpoint was reset
    And the flooding endpoint is ejected

  Scenario: A slow stream is not interrupted
    # Events that arrive within the allowed gap, one byte after the other,
    # are sound; so are comments between them.
    Given a stream endpoint that sends 4 events byte by byte with comments
    When a stream of 6000 ms is made
    Then the caller gets all 4 events
    And 1 attempt was made

  Scenario: Many endless answers share one memory limit
    # On an entry with 128 MB, 8 MiB for each of many endless answers would
    # end the process. Small answers must still arrive.
    Given 12 endpoints that flood with "a body" and a complete one
    When 60 calls go to the flooding endpoints and 20 to the complete one
    Then the answers in memory never exceeded 4 MiB
    And the process grew by at most 24 MiB
    And the 20 calls to the complete endpoint succeeded

  Scenario: A call's answer in chunks of one byte is whole
    # A sound endpoint may write its answer in small pieces, which must not
    # count as a flood.
    Given an endpoint whose answer of 800 bytes comes in chunks of one byte
    When a non-repeatable call of 900 ms is made
    Then the caller gets an answer of 800 bytes

  Scenario: A stream of many events in two chunks each is whole
    # The chunks of a long sound stream must not add up to a flood: new
    # events pay for them.
    Given a stream endpoint that sends 5000 events after a comment each
    When a stream of 6000 ms is made
    Then the caller gets all 5000 events
    And 1 attempt was made

  Scenario: An answer in chunks of one byte without end is given up
    # Guards against a connection that costs the processor until the deadline
    # of its call, far more than any sound answer does.
    Given an endpoint that floods with "chunks of one byte" and a complete one
    When a non-repeatable call of 4000 ms is made
    Then the call may have run and was sent once
    And it took at most 3000 ms
    And 1 lost attempt was counted as "costly answer"
    And the connection to the flooding endpoint was reset
