Feature: Decisions on settings that change while an entry runs

  Scenario Outline: A file is read once it has settled
    # Guards against reading a file that is being written, and against a
    # change that is missed. Replays checks of a file whose contents are
    # numbered; 0 means that there is no file.
    Given a settings file that is checked periodically
    When the checks find the contents "<found>"
    Then the file is read at the checks "<read>"

    Examples:
      | found           | read    |
      | 1 1 1 1         | 2       |
      | 1 1 2 2 2       | 2 4     |
      | 1 1 2 3 4 4 4   | 2 6     |
      | 1 1 2 1 1       | 2       |
      | 1 1 0 0 0 2 2   | 2 4 7   |
      | 1 1 0 2 2       | 2 5     |
      | 0 0 0 1 1       | 2 5     |
      | 1 1 2 2 1 1     | 2 4 6   |

  Scenario Outline: A changed field applies or waits for a restart
    # Guards against a value that is logged as in force and is not, and
    # against an instance that changes its name or addresses while it runs.
    Given settings in force
    When "<field>" is read with another value
    Then it is "<result>"

    Examples:
      | field                    | result  |
      | stop_limit_s             | changed |
      | address_validity_limit_s | changed |
      | retry_budget_burst       | changed |
      | instance_id              | waiting |
      | failure_domain           | waiting |
      | ip                       | waiting |
      | caller_address           | waiting |
      | readiness_address        | waiting |
      | directory_address        | waiting |
      | control_address          | waiting |
      | peer_ports               | waiting |

  Scenario: A change that is taken back waits no longer
    # Guards against a log that asks for a restart that nothing needs.
    Given settings in force
    When "caller_address" is read with another value
    And the settings in force are read
    Then nothing has changed

  Scenario: Each field that waits for a restart is a field
    # Guards against a field that was renamed and then changes at runtime.
    Then each field that waits for a restart is one of the settings
