Feature: Bodies of requests at the own interface

  Scenario Outline: A body is read as its caller sent it
    # Guards against a service that gets an expanded body which its headers
    # call compressed, and against an unknown outcome of a call that was not
    # sent, as its body is no valid data of its encoding.
    When a caller sends <content> with the encoding "<encoding>"
    Then a request handler reads the same bytes

    Examples:
      | content      | encoding |
      | gzip data    | gzip     |
      | no gzip data | gzip     |
      | deflate data | deflate  |
      | no gzip data | br       |
      | no gzip data | identity |

  Scenario: The size limit applies to a body as its caller sent it
    # Guards against a limit that is applied to another length than the sent
    # one.
    When a caller sends one byte too many with the encoding "gzip"
    Then a request handler refuses the body as too large
