Feature: Requests to endpoints that turn one away and ask for a pause

  Endpoints play their script for each request. Endpoint 1 would be chosen
  first.

  Scenario Outline: Nothing is sent to an endpoint that asked for a pause
    # Guards against requests that only add to the load of an endpoint that
    # has stated when it takes some again.
    Given endpoint 1 turns requests away and asks for a pause of 5 s
    And endpoint 2 states no limit and plays "<script>"
    When <count> <kind> requests are made in turn
    Then endpoint 1 received at most 1 requests

    Examples:
      | kind           | script       | count |
      | repeatable     | complete     | 8     |
      | repeatable     | error        | 4     |
      | repeatable     | hang         | 3     |
      | non-repeatable | complete     | 8     |
      | non-repeatable | declined     | 4     |
      | stream         | head 1 2 end | 8     |
      | stream         | head 1 crash | 3     |

  Scenario Outline: Without another endpoint requests are refused at once
    # Guards against requests that wait for an endpoint that takes none, and
    # against callers that come back too early.
    Given endpoint 1 turns requests away and asks for a pause of 5 s
    And endpoint 2 turns requests away and asks for a pause of 3 s
    When 3 <kind> requests are made in turn
    Then the last one is refused as ENDPOINT_LIMITS within 100 ms
    And it may return after 2.5 s at the earliest
    And endpoint 1 received at most 1 requests
    And endpoint 2 received at most 1 requests

    Examples:
      | kind           |
      | repeatable     |
      | non-repeatable |
      | stream         |

  Scenario: A stream that has begun waits for the end of a pause
    # Guards against breaking off an answer that is half delivered.
    Given endpoint 1 states no limit and plays "head 1 die"
    And endpoint 2 turns a request away, asks for a pause of 0.6 s and then plays "head 2 3 end"
    When 1 stream requests are made in turn
    Then the last one has the events "1 2 3" and is complete

  Scenario: An endpoint is used again after its pause
    # Guards against an endpoint that gets no requests for ever.
    Given endpoint 1 turns a request away, asks for a pause of 0.3 s and then plays "complete"
    And endpoint 2 states no limit and plays "complete"
    When 3 repeatable requests are made in turn, 0.2 s apart
    Then endpoint 1 received 2 requests

  Scenario Outline: Odd pauses count only as far as they can be read
    # Guards against an endpoint that is avoided for ever.
    Given an answer with status <status> and Retry-After "<text>"
    Then it asks for <pause>

    Examples:
      | status | text                          | pause         |
      | 503    | 2                             | a pause of 2 s |
      | 503    | 0.25                          | a pause of 0.25 s |
      | 429    | 2                             | a pause of 2 s |
      | 503    | ,                             | no pause      |
      | 503    | -1                            | no pause      |
      | 503    | soon                          | no pause      |
      | 503    | 1e9                           | no pause      |
      | 503    | nan                           | no pause      |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | no pause      |
      | 500    | 2                             | no pause      |
      | 200    | 2                             | no pause      |

  Scenario: A pause is bounded and belongs to one start of an endpoint
    # Guards against avoiding an endpoint for a wrong number, or one that
    # started again under its id.
    Given a pause of 100000 s from 10.0 s on
    Then the endpoint pauses at 69.9 s
    And the endpoint does not pause at 70.0 s
    And its next start does not pause at 10.1 s
