Feature: Decisions during the drain of a planned stop

  Scenario Outline: No request is accepted that may last beyond the stop
    # Guards against requests that are accepted late in the grace and cut when
    # the process ends. Replays arrivals every 0.1 s until the process is
    # killed, of requests that take their whole time.
    Given a drain of a process that is killed <stop_s> s later
    When requests that take <taken_s> s arrive until the process is killed
    Then each accepted request ends <margin_s> s before that
    And the requests of the first <accepted_s> s are accepted, no later ones

    Examples:
      | stop_s | taken_s | margin_s | accepted_s |
      | 8      | 1.5     | 0.6      | 5.9        |
      | 8      | 2.5     | 0.6      | 4.9        |
      | 5      | 3.0     | 0.6      | 1.4        |
      | 30     | 25.0    | 0.6      | 4.4        |
      | 8      | 10.0    | 0.6      | -0.1       |
      | 0.5    | 0.1     | 0.6      | -0.1       |

  Scenario: A stream is accepted for as long as it is expected to end in time
    # Guards against refusing all streams, as their time limit is far longer
    # than they take.
    Given a drain of a process that is killed 8 s later
    Then a stream of 25 s that is expected to take 6 s is accepted at 1.4 s
    And a stream of 25 s that is expected to take 6 s is refused at 1.5 s
    And a stream of 2 s that is expected to take 6 s is accepted at 5.4 s
    And a stream of 2 s that is expected to take 6 s is refused at 5.5 s

  Scenario Outline: A limit that changes during a drain can only shorten it
    # Guards against a process that is killed while requests wait for their
    # answers, as the limit became shorter, or as it became longer and the
    # platform has set the time of the kill at the stop signal.
    Given a drain of a process that is killed 8 s later
    When the limit becomes <limit_s> s at <at_s> s
    Then requests have answers by <answer_s> s and answers end by <cut_s> s

    Examples:
      | limit_s | at_s | answer_s | cut_s |
      | 8       | 1    | 7.4      | 7.6   |
      | 20      | 1    | 7.4      | 7.6   |
      | 5       | 1    | 4.4      | 4.6   |
      | 5       | 4.5  | 4.5      | 4.7   |
      | 2       | 4    | 4.0      | 4.2   |
      | 2       | 7.5  | 7.4      | 7.6   |

  Scenario: A limit that was shortened during a drain stays so
    # Guards against a limit that changes twice, and against an end that is
    # put off at each check because the limit has passed.
    Given a drain of a process that is killed 8 s later
    When the limit becomes 2 s at 4 s
    And the limit becomes 2 s at 4.1 s
    And the limit becomes 20 s at 4.2 s
    Then requests have answers by 4 s and answers end by 4.2 s
