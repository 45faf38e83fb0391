Feature: Requests that meet an error of the entry itself

  Scenario Outline: A caller gets an answer whatever fails in the entry
    # Guards against connections that close without an answer, as the server
    # takes a cancellation in the handler for a caller that left, and against
    # a promise that a request did not run which an endpoint may have got.
    Given stream endpoints that play "<first>" and "<second>"
    And the condition "none" at the caller port
    And the entry raises <error> at the <place>
    When a caller sends a <kind> request
    Then it is answered with status <status>
    And the error is logged with its cause

    Examples: Nothing was sent
      | first      | second     | error          | place      | kind       | status |
      | head 1 end | head 1 end | LookupError    | selection  | once       | 503    |
      | head 1 end | head 1 end | CancelledError | selection  | once       | 503    |
      | head 1 end | head 1 end | CancelledError | selection  | repeatable | 503    |
      | head 1 end | head 1 end | CancelledError | selection  | stream     | 503    |
      | head 1 end | head 1 end | LookupError    | turn       | once       | 503    |
      | head 1 end | head 1 end | CancelledError | turn       | once       | 503    |
      | head 1 end | head 1 end | LookupError    | connection | once       | 503    |
      | head 1 end | head 1 end | CancelledError | connection | once       | 503    |
      | head 1 end | head 1 end | CancelledError | connection | stream     | 503    |
      | head 1 end | head 1 end | LookupError    | routing    | once       | 503    |
      | head 1 end | head 1 end | CancelledError | routing    | stream     | 503    |
      | declined   | head 1 end | CancelledError | second selection | once | 503    |

    Examples: An endpoint may have got the request
      | first | second     | error          | place            | kind       | status |
      | hang  | head 1 end | LookupError    | answer           | once       | 502    |
      | hang  | head 1 end | CancelledError | answer           | once       | 502    |
      | hang  | head 1 end | CancelledError | answer           | stream     | 502    |
      | crash | head 1 end | CancelledError | second selection | repeatable | 502    |
      | crash | head 1 end | LookupError    | second selection | stream     | 502    |
      | hang  | head 1 end | CancelledError | second selection | repeatable | 502    |

  Scenario: A stream that has begun is cut
    # Guards against an answer that is appended to half of a stream.
    Given stream endpoints that play "head 1 crash" and "head 2 end"
    And the condition "none" at the caller port
    And the entry raises CancelledError at the resumption
    When a caller sends a stream request
    Then its answer is cut
    And the reason "exception" is counted and logged once, and no other
