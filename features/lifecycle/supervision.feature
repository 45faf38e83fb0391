Feature: Background tasks of an entry survive unexpected exceptions

  Scenario: A task that fails is restarted after growing pauses
    # Guards against a task that ends for good, and against restarts without
    # a pause that use up the CPU or the calls to the store.
    Given a background task that fails after "0, 0, 0, 0, 0, 0" s
    When it is supervised
    Then the pauses before its restarts are at most "0.1, 0.2, 0.4, 0.8, 1, 1" s
    And they are at least half as long

  Scenario: A task that ran well for some time is restarted soon
    # Guards against a pause of the last fault after a new one.
    Given a background task that fails after "0, 0, 0, 60, 0" s
    When it is supervised
    Then the pauses before its restarts are at most "0.1, 0.2, 0.4, 0.1, 0.2" s

  Scenario: A task that returns or is cancelled from within is restarted
    # Guards against a task that ends without an exception of its own.
    Given a background task that returns once and is cancelled from within once
    When it is supervised
    Then it ran 3 times

  Scenario: A stop ends a supervised task
    # Guards against a process that cannot stop.
    Given a background task that runs until it is cancelled
    When its supervision is cancelled
    Then it has ended

  Scenario: A failure is logged with its traceback once for each kind
    # Guards against a log that fills up while a task keeps failing, and
    # against one that does not state the cause.
    Given a background task that fails 200 times by a recursion
    When it is supervised
    Then the log has 1 line with a traceback of at most 4000 characters

  Scenario Outline: An entry outlives a fault in its background work
    # Guards against a process that ends with its requests because of one
    # exception.
    Given an entry whose "<work>" raises an exception
    When the entry runs for 1.5 s
    Then it still answers and has not begun to drain
    And it ends when it is asked to stop

    Examples:
      | work             |
      | heartbeats       |
      | maintenance step |
      | announcement     |

  Scenario Outline: An entry of the own interface outlives a fault
    # Guards against the same at the own interface.
    Given an entry of the own interface whose "<work>" raises an exception
    When that entry runs for 1.5 s
    Then it is serving and has not begun to drain
    And it ends when it is asked to stop

    Examples:
      | work          |
      | configuration |
      | orders        |
      | instance list |
