Feature: Requests to endpoints that state in their answers that they leave

  Endpoints play their script for each request. Endpoint 1 would be chosen
  first.

  Scenario Outline: Nothing is sent to an endpoint that stated that it leaves
    # Guards against requests that are lost with an endpoint, as it ended soon
    # after it had stated that it leaves.
    Given endpoint 1 leaves and plays "<script>"
    And endpoint 2 states no limit and plays "<other>"
    When 6 <kind> requests are made in turn
    Then endpoint 1 received at most 1 requests
    And the service counts 1 endpoint that leaves

    Examples:
      | kind           | script       | other        |
      | repeatable     | complete     | complete     |
      | non-repeatable | complete     | complete     |
      | non-repeatable | declined     | complete     |
      | repeatable     | error        | complete     |
      | stream         | head 1 2 end | head 1 2 end |
      | stream         | declined     | head 1 2 end |
      | stream         | head 1 crash | head 2 3 end |

  Scenario Outline: An endpoint is not avoided for what another one stated
    # Guards against a sound endpoint that gets no requests.
    Given endpoint 1 plays "<script>", whose answer that leaves is not its own
    And endpoint 2 states no limit and plays "complete"
    When 1 repeatable requests are made in turn
    Then the service counts 0 endpoints that leave

    Examples:
      | script                   |
      | misdirected and leaving  |
      | earlier answer, leaving  |

  Scenario Outline: What only leaving endpoints could serve is refused at once
    # Guards against requests that wait for endpoints that take nothing more.
    Given endpoint 1 leaves and plays "<script>"
    And endpoint 2 leaves and plays "<script>"
    When 3 <kind> requests are made in turn
    Then the last one is refused as NO_ENDPOINT within 100 ms

    Examples:
      | kind           | script       |
      | repeatable     | complete     |
      | non-repeatable | complete     |
      | stream         | head 1 2 end |

  Scenario Outline: Endpoints that stated that they leave are probed
    # Guards against avoiding an endpoint for ever, and against requests to one
    # that still leaves.
    Given an endpoint that stated long ago that it leaves
    When it is probed and <answers>
    Then it is <used>

    Examples:
      | answers                                    | used     |
      | is healthy                                 | used     |
      | is healthy but repeats that it leaves      | not used |
      | is healthy and another one                 | not used |
      | is not healthy                             | not used |
      | does not answer                            | not used |
