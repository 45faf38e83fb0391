Feature: Engines and plain services that send bytes without end

  Scenario Outline: Other callers get answers beside many such connections
    # Bytes that cost more to parse than they bring must not keep an entry
    # from answering other callers, however many connections send them.
    When 34 requests are sent to a <kind> that floods with "<bytes>"
    Then each sound call was answered within 500 ms
    And at least 50 % as many calls were made as without them
    And the flood delayed other requests by at most 120 ms

    Examples:
      | kind          | bytes              |
      | engine        | a head             |
      | engine        | many fields        |
      | engine        | interim answers    |
      | engine        | chunks of one byte |
      | engine        | comments           |
      | engine        | blank lines        |
      | engine        | trailers           |
      | plain service | interim answers    |
      | plain service | chunks of one byte |
      | platform      | interim answers    |
      | platform      | chunks of one byte |

  Scenario Outline: A stream of many events in few chunks each stays whole
    # A sound engine sends each token alone for minutes, which must not be
    # taken for chunks that bring nothing.
    When an engine sends 10000 tokens in <chunks> chunks each
    Then all 10000 tokens are read within 4 s

    Examples:
      | chunks |
      | 1      |
      | 3      |
