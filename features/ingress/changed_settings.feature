Feature: Settings that change while an entry runs

  Scenario Outline: A longer stop limit is used
    # Guards against streams that a planned stop cuts although the platform
    # leaves time for them, as the stop limit is that of the start.
    Given an entry that is killed 4 s after its stop signal
    And calls that take 5000 ms of 10000 ms and streams of 6000 ms
    And the stop limit becomes 12 s <when>
    When requests of all kinds arrive 0.5 s before the stop signal
    Then each request got its complete answer
    And the process ended with code 0 before it was killed

    Examples:
      | when                                   |
      | with SIGHUP                            |
      | 2 s before the stop without a signal   |
      | right before the stop without a signal |
      | in place of a half-written file        |

  Scenario Outline: A shorter stop limit is used
    # Guards against a process that is killed while it still waits for
    # requests, as the stop limit is that of the start.
    Given an entry that is killed 12 s after its stop signal
    And calls that take 8000 ms of 10000 ms and streams of 8000 ms
    And the stop limit becomes 3 s <when>
    When requests of all kinds arrive 0.5 s before the stop signal
    Then the calls failed with status 504 on closing connections
    And the streams were cut after all calls had failed
    And the process ended with code 0 before it was killed

    Examples:
      | when                                   |
      | with SIGHUP                            |
      | 2 s before the stop without a signal   |
      | right before the stop without a signal |

  Scenario Outline: A settings file that cannot be used changes nothing
    # Guards against an entry that stops by a limit of a broken file, and
    # against a log that is filled by one.
    Given an entry that is killed 8 s after its stop signal
    And calls that take 5000 ms of 10000 ms and streams of 6000 ms
    And the settings file becomes "<content>" 2 s before the stop, with SIGHUP twice
    When requests of all kinds arrive 0.5 s before the stop signal
    Then each request got its complete answer
    And the process ended with code 0 before it was killed
    And the entry logged one error of its settings file

    Examples:
      | content            |
      | half-written       |
      | missing            |
      | a negative limit   |
      | a pipe             |
      | too long           |

  Scenario: A limit that is shortened during a stop is used
    # Guards against a process that is killed before it has answered, as the
    # time that the platform leaves has become shorter since the stop signal.
    Given an entry that is killed 12 s after its stop signal
    And calls that take 8000 ms of 10000 ms and streams of 8000 ms
    And the stop limit becomes 4 s 1 s after the stop signal
    When requests of all kinds arrive 0.5 s before the stop signal
    Then the calls failed with status 504 on closing connections
    And the streams were cut after all calls had failed
    And the process ended with code 0 before it was killed

  Scenario: A limit that is raised during a stop leaves its end as it is
    # Guards against calls without an answer: the platform may have set the
    # time of the kill at the stop signal.
    Given an entry that is killed 4 s after its stop signal
    And calls that take 8000 ms of 10000 ms and streams of 8000 ms
    And only the settings file gets a stop limit of 12 s 1 s after the stop signal
    When requests of all kinds arrive 0.5 s before the stop signal
    Then the calls failed with status 504 on closing connections
    And the streams were cut after all calls had failed
    And the process ended with code 0 before it was killed

  Scenario: A change of an address waits for a restart
    # Guards against operators who do not learn which of their changes is
    # not in force, and against an entry that is named at an address at which
    # it does not listen.
    Given an entry that is killed 4 s after its stop signal
    And calls that take 20 ms of 10000 ms and streams of 500 ms
    When the settings file gets another address for callers and a stop limit of 6 s
    Then the entry logs that "stop_limit_s" changed and "caller_address" waits
    And the entry is still named at its first address for callers

  Scenario: The store moves to another address
    # Guards against an entry that gets no changes until it restarts, as it
    # calls the store at the address of its start.
    Given an entry whose store is at another address than its settings say
    When the settings file gets the address of the store
    Then the entry becomes ready within 4 s and serves a call
