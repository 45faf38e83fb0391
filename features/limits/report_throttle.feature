Feature: Idle entries send demand reports less often

  Scenario: Shares stay within the limit while idle entries skip reports
    # Guards against a skipped report that lets two entries use one share.
    Then with idle entries under partitions, restarts and list outages the shares sum up to at most the limit

  Scenario: Idle entries send few reports
    # Guards against idle entries that send a report to every other entry
    # each second.
    Given 40 entries without demand that share limits for 60 s
    Then they sent at most 0.6 reports per entry and second in the last 20 s
    And no report of the last 20 s contains acknowledgements

  Scenario: An idle entry with new demand gets loans within 3 s
    # Guards against lenders that skip reports while an entry that was idle
    # needs more than its base share.
    Given 40 entries without demand that share limits for 60 s
    When one of the idle entries has demand for a full limit
    Then within 3 s it may use more than half of the limit

  Scenario: The list is unavailable for a long time
    # Guards against idle entries that skip the acknowledgements that other
    # entries need in order to use a base share.
    Given 40 entries without demand that share limits for 60 s
    When the list of entries is unavailable for 40 s
    Then the shares of the 40 entries sum up to the full limit at each step
