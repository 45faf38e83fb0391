Feature: Start and exit of an entry process

  Scenario: A stopped entry ends at once
    # Guards against a process that is still there at the kill although it
    # has stopped: on a busy machine it gets a part of a core.
    Given an entry that prints its processor time at its exit
    When the entry is asked to stop and ends
    Then its exit code was 0
    And its exit took less processor time than a tenth of the time reserved

  Scenario: An entry that starts survives SIGHUP
    # Guards against a process that a change of its settings ends, as SIGHUP
    # comes before the process handles signals.
    Given an entry that gets "SIGHUP" at its start
    Then it becomes ready

  Scenario Outline: A signal does not change how a stopped entry ends
    # Guards against an exit code that reports a failed stop, as a further
    # signal comes while the interpreter exits.
    Given an entry that gets "<name>" at its exit
    When the entry is asked to stop and ends
    Then its exit code was 0

    Examples:
      | name    |
      | SIGHUP  |
      | SIGINT  |
      | SIGTERM |

  Scenario: An entry that was never ready ends at once
    # Guards against a stop that waits for callers which were never given the
    # address of the entry.
    Given an entry without a configuration
    When the entry is asked to stop and ends
    Then its exit code was 0
    And it ended within 1 s of the signal
