Feature: Lifecycle of an entry instance

  Scenario: A starting instance is not advertised and rejects requests
    # Guards against requests at an instance without a configuration.
    Given a starting instance
    Then the instance is not advertised and rejects requests at 0 s

  Scenario: A draining instance accepts requests until its answers expire
    # Guards against rejecting a caller whose address answer is still valid.
    Given a serving instance
    When an address answer valid until 30 s names the instance
    And the instance begins to drain at 10 s
    Then the instance is not advertised and accepts requests at 29 s
    And the instance is not advertised and rejects requests at 30 s

  Scenario: A drain also waits for address answers of other entries
    # Guards against a drain that considers only its own address answers.
    Given a serving instance that other entries may advertise for 15 s
    When the instance begins to drain at 10 s
    Then the instance is not advertised and accepts requests at 24 s
    And the instance is not advertised and rejects requests at 25 s

  Scenario: A drain waits for each request in flight
    # Guards against a planned stop that interrupts a stream.
    Given a serving instance
    When 2 requests of the instance start
    And the instance begins to drain at 10 s
    And 1 requests of the instance finish
    Then the instance cannot stop at 500 s
    When 1 requests of the instance finish
    Then the instance stops at 500 s

  Scenario: An idle instance still waits for its last answer to expire
    # Guards against closing the port to a caller whose answer is still valid.
    Given a serving instance
    When an address answer valid until 30 s names the instance
    And the instance begins to drain at 10 s
    Then the instance cannot stop at 29 s
    And the instance stops at 30 s

  Scenario: A second request to drain has no effect
    # Guards against a second signal that restarts the drain.
    Given a serving instance that other entries may advertise for 15 s
    When the instance begins to drain at 10 s
    And the instance begins to drain at 20 s
    Then the instance is not advertised and rejects requests at 25 s
    And the listeners got "serving, draining"

  Scenario: An instance that never served drains at once
    # Guards against a stop that waits for answers that do not exist.
    Given a starting instance
    When the instance begins to drain at 10 s
    Then the instance stops at 10 s
    And the listeners got "draining, stopped"

  Scenario: An answer that expires earlier does not shorten the wait
    # Guards against a newer answer that replaces one that expires later.
    Given a serving instance
    When an address answer valid until 30 s names the instance
    And an address answer valid until 20 s names the instance
    And the instance begins to drain at 10 s
    Then the instance is not advertised and accepts requests at 29 s

  Scenario: Readiness during a drain does not cancel the drain
    # Guards against a late configuration that cancels a drain.
    Given a starting instance
    When the instance begins to drain at 10 s
    And the instance becomes ready
    Then the instance is not advertised and rejects requests at 10 s
