Feature: Requests that end without a complete answer

  Scenario Outline: The reason of a cut answer is counted and logged
    # Guards against answers that are cut without a trace of why, and against
    # taking a cut of this entry for a caller that left.
    Given stream endpoints that play
      | scripts  |
      | <first>  |
      | <second> |
      | <third>  |
    And the condition "<condition>" at the caller port
    When a caller asks for a stream
    Then its answer is cut
    And the reason "<reason>" is counted and logged once, and no other

    Examples:
      | first                | second                       | third                        | condition             | reason        |
      | head 1 crash         | head 2 end                   | head 2 end                   | no retries            | retry budget  |
      | head 1 crash         | head 2 end                   | head 2 end                   | one attempt           | not retryable |
      | head 1 crash         | head 2 end                   | head 2 end                   | endpoints removed     | no endpoint   |
      | head 1 die, declined | declined, declined, declined | declined, declined, declined | none                  | no capacity   |
      | head 1 die           | head 2 end                   | head 2 end                   | permits used up       | no permit     |
      | head 1 die           | head 2 die                   | head 3 end                   | none                  | quarantined   |
      | head 1 hang          | head 2 end                   | head 2 end                   | not resumable         | deadline      |
      | head 1 hang          | head 2 end                   | head 2 end                   | interrupted by a stop | stop limit    |
      | head 1 hang          | head 2 end                   | head 2 end                   | caller leaves         | caller left   |
      | head 1 crash         | head 2 end                   | head 2 end                   | second attempt raises | exception     |

  Scenario: A complete answer has no such reason
    # Guards against counts of answers that were not cut.
    Given stream endpoints that play "head 1 crash" and "head 2 end"
    And the condition "none" at the caller port
    When a caller asks for a stream
    Then its answer is complete
    And no reason is counted

  Scenario Outline: A cut answer tells what happened before it
    # Guards against cut answers of which one cannot tell whether a change, a
    # silent endpoint or a pause of the entry came before them.
    Given stream endpoints that play
      | scripts      |
      | <first>      |
      | head 2 crash |
      | head 3 end   |
    And the condition "<condition>" at the caller port
    When a caller asks for a stream
    Then its answer is cut
    And its log line has "<field>" from <least> to <most>, and nothing else happened

    Examples:
      | first        | condition             | field                  | least | most |
      | head 1 hang  | one more attempt      | has_left_silent        | 1     | 1    |
      | head 1 crash | one more attempt      | has_left_silent        | 0     | 0    |
      | head 1 crash | changed configuration | since_configuration_ms | 0     | 1000 |
      | head 1 crash | SIGHUP                | since_reload_ms        | 0     | 1000 |
      | head 1 crash | event loop held up    | longest_pause_ms       | 250   | 2000 |
