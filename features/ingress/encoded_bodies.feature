Feature: Bodies of requests that have a content encoding

  Scenario Outline: A body is forwarded as its caller sent it
    # Guards against an endpoint that gets an expanded body which its headers
    # call compressed, and against refusing bodies that are not understood.
    Given a body of <content> with the encoding "<encoding>"
    When a caller sends it <framing>
    Then the caller gets status 200
    And the endpoint got the body and its encoding unchanged

    Examples:
      | content         | encoding | framing       |
      | gzip data       | gzip     | with a length |
      | gzip data       | gzip     | in chunks     |
      | no gzip data    | gzip     | with a length |
      | no gzip data    | gzip     | in chunks     |
      | deflate data    | deflate  | with a length |
      | no gzip data    | deflate  | with a length |
      | no gzip data    | br       | with a length |
      | no gzip data    | zstd     | with a length |
      | no gzip data    | identity | with a length |
      | no gzip data    | x, y     | with a length |
      | expanding data  | gzip     | with a length |
      | the largest one | gzip     | in chunks     |

  Scenario Outline: The size limit applies to a body as its caller sent it
    # Guards against a limit that is applied to another length than the sent
    # one.
    Given a body of one byte too many with the encoding "gzip"
    When a caller sends it <framing>
    Then the caller gets status 413
    And the endpoint got no request

    Examples:
      | framing       |
      | with a length |
      | in chunks     |
