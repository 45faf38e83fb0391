Feature: Bodies in small chunks and bodies that are not needed

  Scenario: A body in chunks of one byte is forwarded whole
    # Guards against a limit for costly bodies that a sound caller meets.
    When a caller sends a body of 800 bytes in chunks of one byte
    Then the caller gets status 200
    And the endpoint got the whole body

  Scenario: A large body in chunks is forwarded whole
    # Guards against chunks of ordinary size that add up to a costly body.
    When a caller sends a body of 9000 bytes in chunks of 100 bytes
    Then the caller gets status 200
    And the endpoint got the whole body

  Scenario Outline: An early refusal reaches a caller that sends its body first
    # Guards against a close that resets the connection before the caller has
    # read the answer.
    When a caller sends 2 MiB to <target> before it reads
    Then the caller gets status <status>

    Examples:
      | target           | status |
      | an unknown route | 404    |
      | the service      | 413    |

  Scenario: An early refusal reaches a caller on a slow link
    # Guards against a close that resets the connection of a caller that sends
    # a whole body of usual size before it reads.
    When a caller sends 3 MiB at 1 MiB/s to an unknown route before it reads
    Then the caller gets status 404

  Scenario: A connection is kept after a small body that was not needed
    # Guards against connections that are closed for each early refusal.
    When a caller sends 1000 bytes to an unknown route and then a call
    Then both requests are answered on the connection

  Scenario: Many requests on one connection are not a costly message
    # Guards against costs that add up over the requests of a connection.
    When a caller sends 5000 requests for an unknown route on one connection
    Then all of them are answered with 404 on the connection

  Scenario Outline: A body without end that is not needed ends its connection
    # Guards against bodies that are skipped at full speed for long.
    When a caller sends <what> without end to an unknown route
    Then the caller gets status 404
    And its connection is closed within 3 s

    Examples:
      | what               |
      | chunks of one byte |
      | large chunks       |

  Scenario: A body of costly chunks is refused
    # Guards against bodies that cost far more to parse than they bring.
    When a caller sends chunks of one byte without end to the service
    Then the caller gets status 400
    And the answer has the code 4013 and closes the connection
    And the endpoint got no request
