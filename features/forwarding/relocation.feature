Feature: Searches for an endpoint while a stream waits at a silent one

  Scenario: A search that ends too late for another attempt is not waited for
    # Guards against a loop that takes the processor until the deadline, as
    # the wait returns at once for a search that has ended.
    Given stream endpoints that play "head 1 hang" and "head 2 end"
    And another attempt needs 1500 ms
    And the search for a successor takes 1500 ms
    When a stream is made
    Then the stream waited at most 100 times
    And endpoint 2 received no request
    And the retry budget is complete

  Scenario Outline: A stream searches again after its search failed
    # Guards against a stream that stays at a dead endpoint until its deadline,
    # because of one error.
    Given stream endpoints that play "head 1 hang" and "head 2 3 end"
    And the first search for a successor <failure>
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And the failed search was logged

    Examples:
      | failure        |
      | raises         |
      | gets cancelled |
