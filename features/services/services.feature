Feature: Requests to plain services

  Scenario: A request is forwarded unchanged
    # Guards against a changed path, query, body or idempotency key.
    Given a running plain service
    When a POST to "/complaints/a%2Fb?case=%C3%A9" is sent with key "key-00001"
    Then the service outcome is complete with status 200
    And the service logged the request as it was sent

  Scenario: Hop-by-hop headers are not forwarded
    # Guards against headers of one connection that are sent on another.
    Given a plain service that answers with hop-by-hop headers
    When a request with hop-by-hop headers is sent to it
    Then only end-to-end headers were forwarded in both directions

  Scenario: A redirect is forwarded and not followed
    # Guards against a request to an address that is not configured.
    Given a plain service that redirects
    When a POST to "/complaints" is sent with key "key-00001"
    Then the service outcome is complete with status 307

  Scenario Outline: An answer with a header that can't be passed on is unknown
    # Guards against a caller whose connection is closed without an answer, as
    # the server refuses to write such a header.
    Given a plain service that answers with the byte <byte> in a header
    When a POST to "/complaints" is sent with key "key-00001"
    Then the service outcome is OUTCOME_UNKNOWN

    Examples:
      | byte |
      | 1    |
      | 127  |
      | 255  |

  Scenario: A refused connection is "not run"
    # Guards against an unknown outcome for a request that was never sent.
    Given a running plain service
    And the plain service process is killed
    When a POST to "/complaints" is sent with key "key-00001"
    Then the service outcome is CONNECT_FAILED

  Scenario Outline: A request whose answer is lost is unknown and not repeated
    # Guards against aiohttp's own retry on a closed pooled connection, which
    # would run a call twice.
    Given a running plain service
    And a <method> was answered before
    And the plain service has the fault "lose_answers" set to true
    When a repeatable <method> to "/cases/7" is sent
    Then the service outcome is OUTCOME_UNKNOWN
    And the service ran 2 calls

    Examples:
      | method |
      | GET    |
      | PUT    |
      | DELETE |
      | POST   |

  Scenario: Without the guard, a call whose answer is lost runs again
    # Shows that the outline above detects a request that is sent twice.
    Given a running plain service
    And an adapter that lets aiohttp repeat requests
    And a PUT was answered before
    And the plain service has the fault "lose_answers" set to true
    When a repeatable PUT to "/cases/7" is sent
    Then the service ran 3 calls

  Scenario: A late copy of an answer does not reach the next caller
    # Guards against the case status of another resident: a service may send
    # an answer again on a connection that is in use for the next request,
    # and its answers carry no id.
    Given a plain service that repeats its last answer before the next one
    When a repeatable GET to "/cases/7" is sent
    And a repeatable GET to "/cases/8" is sent
    Then the service answered "/cases/8"

  Scenario: A call is unknown if the service is killed while it runs
    # Guards against "not run" for a call that had started.
    Given a running plain service
    And the plain service has the fault "slow_ms" set to 60000
    When a POST is sent and the service is killed once it runs
    Then the service outcome is OUTCOME_UNKNOWN

  Scenario: A call to a stopped service process is unknown at the deadline
    # Guards against a call that waits beyond its deadline.
    Given a running plain service
    And the plain service process is stopped
    When a POST is sent with 0.5 s to its deadline
    Then the service outcome is OUTCOME_UNKNOWN
    When the plain service process continues
    Then the service ran at most 1 calls

  Scenario: A request is not sent after its deadline
    # Guards against work for a caller that no longer waits.
    Given a running plain service
    When a POST is sent with 0.0 s to its deadline
    Then the service outcome is DEADLINE_BEFORE_SEND
    And the service ran 0 calls

  Scenario: A request is not sent if its deadline passes while connecting
    # Guards against a pause between the check of the deadline and the send.
    Given a running plain service
    When a POST is sent and its deadline passes while it connects
    Then the service outcome is DEADLINE_BEFORE_SEND
    And the service ran 0 calls

  Scenario: An answer that is too long is unknown
    # Guards against forwarding a truncated answer and against unbounded memory.
    Given a plain service whose answer is too long
    When a POST to "/complaints" is sent with key "key-00001"
    Then the service outcome is OUTCOME_UNKNOWN

  Scenario: A truncated answer is unknown
    # Guards against a partial answer that is taken as complete.
    Given a plain service that ends its answer early
    When a POST to "/complaints" is sent with key "key-00001"
    Then the service outcome is OUTCOME_UNKNOWN

  Scenario: An answer that ends after its head is unknown
    # Guards against an empty success of a service that ended after the head
    # of its answer.
    Given a plain service that ends its answer after the head
    When a POST to "/complaints" is sent with key "key-00001"
    Then the service outcome is OUTCOME_UNKNOWN

  Scenario: A head that is cut after any byte is unknown
    # Guards against a success of which only a part of the head arrived.
    Then no cut head of a plain service gives an answer

  Scenario: Malformed answers raise no error
    # Guards against an uncaught exception caused by an endpoint's bytes.
    Then random answers of a plain service give an outcome

  Scenario: The load report is read
    # Guards against routing to a service that is leaving.
    Given a running plain service
    And the plain service has the fault "leaving" set to true
    Then its load report says that it is leaving
    When the plain service process is killed
    Then no load report can be read

  Scenario Outline: A part of an answer is not taken for the whole one
    # Guards against a success with a part of the body: a service answered
    # without a length and broke off before it had read the request.
    Given a plain service that answers a part without a length and ends by a <end>
    When an upload of <size> bytes is sent to it
    Then the service outcome is OUTCOME_UNKNOWN

    Examples:
      | end   | size    |
      | reset | 100     |
      | reset | 8000000 |
      | close | 8000000 |
      | half  | 8000000 |

  Scenario: An answer without a length ends early with its service
    # Guards against half of an answer that looks like a success: the
    # connections of a killed process end in the ordinary way.
    Given a plain service that answers a part without a length and exits
    When a POST to "/complaints" is sent with key "key-00001"
    Then the service outcome is OUTCOME_UNKNOWN

  Scenario Outline: A status that HTTP does not define is no answer
    # Guards against a caller that gets the status 000 of a service in trouble.
    Given a plain service that answers with status "<status>"
    When a POST to "/complaints" is sent with key "key-00001"
    Then the service outcome is OUTCOME_UNKNOWN

    Examples:
      | status |
      | 000    |
      | 020    |
      | 099    |
      | 20x    |
      | 600    |
      | 999    |
      | 1000   |
