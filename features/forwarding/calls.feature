Feature: Plain calls over real connections

  Scenario Outline: A lookup goes on at another endpoint
    # Guards against passing on what one endpoint failed to answer.
    Given endpoints that play "<first>" and "whole"
    When a repeatable call is made
    Then the caller gets status 200 and the body "fine"
    And the endpoints saw 2 sends

    Examples:
      | first       |
      | reset       |
      | close       |
      | error       |
      | declined    |
      | misdirected |
      | cut         |
      | garbage     |
      | encoded     |
      | foreign     |

  Scenario Outline: A single call is not repeated once it may have run
    # Guards against filing a complaint twice.
    Given endpoints that play "<first>" and "whole"
    When a single call is made
    Then the outcome is unknown
    And the endpoints saw 1 sends

    Examples:
      | first   |
      | reset   |
      | close   |
      | cut     |
      | garbage |
      | foreign |

  Scenario: A single call goes on after a proof that it did not run
    # Guards against refusing what another endpoint can serve.
    Given endpoints that play "declined" and "whole"
    When a single call is made
    Then the caller gets status 200 and the body "fine"

  Scenario: The endpoint's own failure is passed on as it is
    # Guards against hiding what the endpoint answered.
    Given endpoints that play "error" and "whole"
    When a single call is made
    Then the caller gets status 500 and the body "broken"

  Scenario: A silent endpoint is passed by within the objective
    # Guards against lookups that wait for an endpoint that hangs.
    Given endpoints that play "hang" and "whole"
    When a repeatable call is made
    Then the caller gets status 200 and the body "fine"
    And it took at most 400 ms

  Scenario: The limit of the route ends a call at once
    # Guards against answers after the route's limit.
    Given endpoints that play "hang" and "hang"
    When a single call is made with 300 ms left
    Then the outcome is unknown and late
    And it took at most 400 ms

  Scenario: A call that reached nobody is refused as not run
    # Guards against "unknown" where nothing was sent.
    Given endpoints that refuse connections
    When a single call is made
    Then the call is refused as not run

  Scenario: An extra answer on a kept connection is skipped
    # Guards against giving a caller the answer to another request.
    Given an endpoint that plays "whole" and "late extra"
    When two repeatable calls are made one after the other
    Then the caller gets status 200 and the body "second"

  Scenario: Bytes on an idle connection end it
    # Guards against reading them as the next answer.
    Given an endpoint that plays "whole and more" and "whole"
    When two repeatable calls are made one after the other
    Then the caller gets status 200 and the body "fine"
    And the endpoints saw 2 connections

  Scenario: An answer without a length ends with its connection
    # Guards against taking a cut body for a whole one.
    Given endpoints that play "unframed" and "whole"
    When a single call is made
    Then the caller gets status 200 and the body "all of it"

  Scenario: What a caller may not set is not passed on
    # Guards against a caller that names the memory of another request.
    Given endpoints that play "whole" and "whole"
    When a single call is made
    Then the endpoint saw "expected-instance: e0"
    And the endpoint saw "tenant: acme"
    And the endpoint saw "deadline-ms: "
    And the endpoint did not see "kv-from"
