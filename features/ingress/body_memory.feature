Feature: Memory of request bodies and answers

  Scenario Outline: A burst of long bodies fits the memory of the machine
    # An entry that exceeds the memory of its machine is killed, and all that
    # it runs is lost. Bodies were held and copied without a common limit.
    Given an entry on a machine of 150 MB
    When 34 callers send bodies of 3900000 bytes <framing> for 5 s
    Then its private memory never exceeded 150 MB
    And no request ended without an answer
    And at least 50 long bodies were served

    Examples:
      | framing       |
      | with a length |
      | in chunks     |

  Scenario: Callers that go silent midway do not keep the memory
    # A caller that lost its power sends neither the rest of a body nor an end
    # of its connection, and the memory of the whole body is reserved.
    Given an entry on a machine of 150 MB
    When 12 callers with 1000 ms begin a body of 3900000 bytes and go silent
    And 1200 ms later another caller sends such a body
    Then the other caller gets status 200
    And the silent callers that had room got status 504 and code 2009

  Scenario: Answers that are not read fit the memory of the machine
    # Complete answers were held for callers that read slowly, and copied to
    # write them, without a limit.
    Given an entry on a machine of 150 MB
    When 34 callers leave answers of 8000000 bytes unread and 4 make short calls, for 5 s
    Then its private memory never exceeded 150 MB
    And no request ended without an answer
    And at least 100 short calls were served

  Scenario: Endless answers beside long bodies fit the memory of the machine
    # Answers and bodies have a limit each; together they must fit, too.
    Given an entry on a machine of 150 MB
    When 34 callers send bodies of 3900000 bytes, and 34 call as many endless endpoints, for 5 s
    Then its private memory never exceeded 150 MB
    And no request ended without an answer
    And at least 20 long bodies were served

  Scenario: Stalled uploads do not keep the room of long bodies
    # Callers that state a long body and send single bytes kept all of the
    # room, so that each other long body was refused as long as they sent.
    Given an entry on a machine of 128 MB
    When 8 callers with 4000 ms state 4000000 bytes and send one each 500 ms
    And 1000 ms later another caller sends a body of 3900000 bytes
    Then the other caller gets status 200
