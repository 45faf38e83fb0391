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
      | retry_budget_ratio       | changed |
      | address_reuse_s          | changed |
      | exposure_share           | changed |
      | exposure_slack           | changed |
      | memory_mb                | changed |
      | configuration_limit_ms   | changed |
      | drain_limit_ms           | changed |
      | contact_limit_ms         | changed |
      | seed_addresses           | changed |
      | store_address            | changed |
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

  Scenario Outline: A part of the entry uses a changed field
    # Guards against a part that keeps the value of the start, which it got as
    # a copy, while the log says that the field changed.
    Given an entry with settings in a file
    When "<field>" in the file becomes <value> and the file is read
    Then <what> is <after>, and was <before> at first

    Examples:
      | field                    | value | what                        | before | after |
      | address_validity_limit_s | 0.5   | "validity"                  | 1      | 0.5   |
      | address_reuse_s          | 20    | "successor searches"        | 0      | 1     |
      | retry_budget_ratio       | 0.5   | "retries of ten requests"   | 4.8    | 3     |
      | retry_budget_burst       | 20    | "burst"                     | 37.5   | 5     |
      | exposure_share           | 0.5   | "share of a roll-out"       | 0.1    | 0.5   |
      | exposure_slack           | 7     | "slack of a roll-out"       | 50     | 7     |
      | exposure_slack           | 7     | "slack of a later roll-out" | 50     | 7     |
      | memory_mb                | 64    | "held MiB"                  | 16     | 8     |
      | configuration_limit_ms   | 4000  | "wait for configurations"   | 1      | 3     |
      | drain_limit_ms           | 3000  | "wait for endpoints"        | 2      | 3     |
      | contact_limit_ms         | 4000  | "wait for endpoints"        | 2      | 3     |
      | seed_addresses           | []    | "seeds"                     | 1      | 0     |
      | store_address            | "127.0.7.4:5000" | "port of the store" | 4001 | 5000 |
