Feature: Requests that arrive during a planned stop

  Scenario: A request that cannot end before the stop is refused
    # Guards against requests that are accepted late in the grace and end with
    # a closed connection when the process is killed.
    Given an entry that is killed 5 s after its stop signal
    And calls that take 2700 ms of 3000 ms and streams of 3000 ms
    And the entry knows how long streams take
    When requests of all kinds arrive in each second of the stop
    Then each request got its complete answer or was refused as not run
    And the requests at 0 s got their complete answers
    And no endpoint ran a refused request
    And the process ended with code 0 before it was killed

  Scenario: A request whose body arrives late in the grace is refused
    # Guards against a request that was read in part when the stop began, is
    # passed on once it is whole, and cannot end before the process is killed.
    Given an entry that is killed 5 s after its stop signal
    And calls that take 2700 ms of 10000 ms and streams of 3000 ms
    And the entry knows how long streams take
    When the body of a call is complete 2.5 s after the stop signal
    Then each request got its complete answer or was refused as not run
    And no endpoint ran a refused request
    And the process ended with code 0 before it was killed

  Scenario: A request that outlasts the grace gets an answer
    # Guards against requests of before the stop that end with a closed
    # connection when the process does, without a log line.
    Given an entry that is killed 3 s after its stop signal
    And calls that take 8000 ms of 10000 ms and streams of 8000 ms
    When requests of all kinds arrive 0.5 s before the stop signal
    Then the calls failed with status 504 on closing connections
    And the streams were cut after all calls had failed
    And a log line tells of each request what it waited for
    And the process ended with code 0 before it was killed

  Scenario: A request that still waits for its turn is refused
    # Guards against a closed connection, which does not tell the caller of a
    # call that may not be repeated that it was never sent.
    Given an entry that is killed 3 s after its stop signal
    And an endpoint that runs 1 calls at once, each for 8000 ms
    When 16 calls arrive 0.5 s before the stop signal
    Then the running call failed with status 504 and the others were refused
    And no endpoint ran a refused request
    And a log line tells of each call that waited at the end
    And the process ended with code 0 before it was killed

  Scenario: An answer that its caller reads slowly is complete
    # Guards against a process that ends while it still holds a part of an
    # answer, as the request counted as ended before the answer was written.
    Given an entry that is killed 5 s after its stop signal
    And an endpoint whose answers have 6000000 bytes
    When a caller of before the stop reads its answer 3.9 s after it
    Then its answer is complete after the stop began
    And the process ended with code 0 before it was killed

  Scenario: An answer that its caller does not read is cut last
    # Guards against a caller that keeps the process from ending in order.
    Given an entry that is killed 5 s after its stop signal
    And an endpoint whose answers have 6000000 bytes
    When a caller of before the stop reads its answer 5 s after it
    Then its answer is cut and a log line tells so
    And the process ended with code 0 before it was killed

  Scenario: A refused request may still send its body
    # Guards against a reset connection in place of the refusal, for a caller
    # that sends its whole body before it reads.
    Given an entry that is killed 5 s after its stop signal
    And calls that take 20 ms of 3000 ms and streams of 3000 ms
    When a call begins 3.3 s after the stop signal and ends its body 0.7 s later
    Then each request got its complete answer or was refused as not run
    And no endpoint ran a refused request
    And the process ended with code 0 before it was killed

  Scenario: A configuration and SIGHUP leave a planned stop as it is
    # Guards against a drain that ends early, restarts or accepts what can't
    # end before the stop, as the configuration allows more time meanwhile.
    Given an entry that is killed 5 s after its stop signal
    And calls that take 2700 ms of 3000 ms and streams of 3000 ms
    And the entry knows how long streams take
    When requests of all kinds arrive in each second of the stop, and a configuration with 9000 ms for calls and SIGHUP come 0.6 s after it
    Then each request got its complete answer or was refused as not run
    And the requests at 0 s got their complete answers
    And no endpoint ran a refused request
    And the process ended with code 0 before it was killed

  Scenario: Peers and callers that keep connections busy do not delay the end
    # Guards against a process that waits for each of its servers in turn and
    # is killed before it has ended. Entries of large fleets always wait for
    # changes at one another.
    Given an entry that is killed 3 s after its stop signal
    And calls that take 20 ms of 10000 ms and streams of 3000 ms
    When a peer waits for changes and a body stays incomplete until the stop ends
    Then the process ended with code 0 before it was killed

  Scenario: Further stop signals leave a planned stop as it is
    # Guards against a stop that ends at once, or begins again and is killed,
    # as the platform or an operator asks for it repeatedly.
    Given an entry that is killed 5 s after its stop signal
    And calls that take 2700 ms of 3000 ms and streams of 3000 ms
    And the entry knows how long streams take
    When requests of all kinds arrive in each second of the stop, and SIGTERM and SIGINT come 0.6 s after it
    Then each request got its complete answer or was refused as not run
    And the requests at 0 s got their complete answers
    And no endpoint ran a refused request
    And the process ended with code 0 before it was killed

  Scenario: A stop signal that is handled late does not move the end
    # Guards against a stop that ends after the kill, as its time is counted
    # from when the event loop gets to the signal.
    Given an entry that is held up and killed 3 s after its stop signal
    And calls that take 8000 ms of 10000 ms and streams of 8000 ms
    When requests of all kinds arrive 0.5 s before a stop signal that is handled late
    Then the calls failed with status 504 on closing connections
    And the streams were cut after all calls had failed
    And the process ended with code 0 before it was killed
