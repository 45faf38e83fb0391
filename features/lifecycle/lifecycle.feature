Feature: Lifecycle of an entry instance

  Scenario: A starting instance is neither named nor accepts work
    # Guards against work at an instance without a configuration.
    Given a starting instance
    Then the instance is not named and refuses work at 0 s

  Scenario: A draining instance serves callers that hold an older answer
    # Guards against refusing a caller that still may use the address.
    Given a serving instance
    When an address answer valid until 30 s names the instance
    And the instance begins to drain at 10 s
    Then the instance is not named and accepts work at 29 s
    And the instance is not named and refuses work at 30 s

  Scenario: Answers that other entries gave are waited for too
    # Guards against a drain that only knows of its own answers.
    Given a serving instance whose address others may give out for 15 s
    When the instance begins to drain at 10 s
    Then the instance is not named and accepts work at 24 s
    And the instance is not named and refuses work at 25 s

  Scenario: A drain waits for each request in flight
    # Guards against a planned stop that cuts a stream.
    Given a serving instance
    When 2 requests of the instance start
    And the instance begins to drain at 10 s
    And 1 requests of the instance finish
    Then the instance cannot stop at 500 s
    When 1 requests of the instance finish
    Then the instance stops at 500 s

  Scenario: A drain waits for the last answer although nothing runs
    # Guards against closing the port to a caller with a valid address.
    Given a serving instance
    When an address answer valid until 30 s names the instance
    And the instance begins to drain at 10 s
    Then the instance cannot stop at 29 s
    And the instance stops at 30 s

  Scenario: A second signal changes nothing
    # Guards against a drain that starts over.
    Given a serving instance whose address others may give out for 15 s
    When the instance begins to drain at 10 s
    And the instance begins to drain at 20 s
    Then the instance is not named and refuses work at 25 s
    And the listeners saw "serving, draining"

  Scenario: An instance that never served drains at once
    # Guards against a stop that waits for answers nobody gave.
    Given a starting instance
    When the instance begins to drain at 10 s
    Then the instance stops at 10 s
    And the listeners saw "draining, stopped"

  Scenario: A shorter answer does not shorten the wait
    # Guards against forgetting an older answer with a later deadline.
    Given a serving instance
    When an address answer valid until 30 s names the instance
    And an address answer valid until 20 s names the instance
    And the instance begins to drain at 10 s
    Then the instance is not named and accepts work at 29 s

  Scenario: Readiness during a drain does not bring the instance back
    # Guards against a late configuration that undoes a drain.
    Given a starting instance
    When the instance begins to drain at 10 s
    And the instance becomes ready
    Then the instance is not named and refuses work at 10 s
