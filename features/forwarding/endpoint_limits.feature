Feature: Requests to endpoints that state a limit

  Endpoints play their script for each request, and state their limit in
  every answer from the first one on. Endpoint 1 would be chosen first.

  Scenario Outline: Each kind of attempt counts against the limit
    # Guards against attempts that are sent without regard to the limit.
    Given endpoint 1 states a limit of 0.5 and plays "<first>"
    And endpoint 2 states no limit and plays "<second>"
    When <count> <kind> requests are made in turn
    Then endpoint 1 received at most <most> requests

    Examples:
      | first        | second       | kind           | count | most |
      | complete     | complete     | repeatable     | 20    | 2    |
      | complete     | complete     | non-repeatable | 20    | 2    |
      | complete     | declined     | non-repeatable | 6     | 2    |
      | complete     | error        | repeatable     | 6     | 2    |
      | complete     | hang         | repeatable     | 3     | 3    |
      | head 1 2 end | head 1 2 end | stream         | 20    | 2    |
      | head 1 2 end | head 1 crash | stream         | 3     | 3    |

  Scenario Outline: What no endpoint may take is refused at once as not run
    # Guards against requests that wait for a limit although nothing can serve
    # them, and against a caller that is told to return too early.
    Given endpoint 1 states a limit of 0.5 and plays "<script>"
    And endpoint 2 states a limit of 0.5 and plays "<script>"
    When 8 <kind> requests are made in turn
    Then the last one is refused as ENDPOINT_LIMITS within 100 ms
    And it may return after 0.5 s at the earliest

    Examples:
      | script       | kind           |
      | complete     | repeatable     |
      | complete     | non-repeatable |
      | head 1 2 end | stream         |

  Scenario: A stream that has begun waits for a permit
    # Guards against breaking off an answer that is half delivered because
    # the only other endpoint may take its request a moment later.
    Given endpoint 1 states no limit and plays "head 1 die"
    And endpoint 2 states no limit and plays "head 2 3 end"
    And endpoint 2 has had its last permit for a limit of 2
    When 1 stream requests are made in turn
    Then the last one has the events "1 2 3" and is complete

  Scenario: A backup is kept where the stream can go on without a permit
    # Guards against streams that cannot go on after a crash, as the endpoint
    # with their memory takes no more requests.
    Given endpoint 1 states no limit and plays "head 1 2 end"
    And endpoint 2 states no limit and plays "head 1 2 end"
    And endpoint 3 states no limit and plays "head 1 2 end"
    And endpoint 2 has had its last permit for a limit of 2
    When 1 stream requests are made in turn
    Then the last one has its backup at endpoint 3

  Scenario Outline: The limit of another answer is not recorded
    # Guards against limiting an endpoint by what another one states that
    # answers at its address, or by a late answer from before the limit ended.
    Given endpoint 1 states no limit and plays "<script>"
    And endpoint 2 states no limit and plays "complete"
    When 2 repeatable requests are made in turn
    Then no endpoint has a limit

    Examples:
      | script                         |
      | misdirected with a limit       |
      | earlier answer with a limit    |

  Scenario: A call goes to the old version if the new one is at its limits
    # Guards against refusing calls while the old version has slots to spare.
    Given endpoint 1 states no limit and plays "complete"
    And endpoint 2 states no limit and plays "complete"
    And endpoint 1 runs a new version that all calls go to
    And endpoint 1 has had its last permit for a limit of 2
    When 1 repeatable requests are made in turn
    Then endpoint 2 received at most 1 requests
    And the last one got status 200
