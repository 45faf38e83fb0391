Feature: Requests that arrive during a planned stop

  Scenario: A request that cannot end before the stop is refused
    # Guards against requests that are accepted late in the grace and end with
    # a closed connection when the process is killed.
    Given an entry that is killed 5 s after its stop signal
    And calls that take 2700 ms of 3000 ms and streams of 3000 ms
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
    When the body of a call is complete 2.5 s after the stop signal
    Then each request got its complete answer or was refused as not run
    And no endpoint ran a refused request
    And the process ended with code 0 before it was killed
