Feature: Entries with nothing to say report their demand less often

  Scenario: Shares stay within the limit while quiet entries are silent
    # Guards against a left out report that lets two entries use one share.
    Then with quiet entries under partitions, restarts and list outages the shares sum up to at most the limit

  Scenario: Quiet entries send few reports
    # Guards against reports of every entry to every entry each second.
    Given 40 entries without demand that share limits for 60 s
    Then they sent at most 0.6 reports an entry and second in the last 20 s
    And no report of the last 20 s names what was heard

  Scenario: Demand ends the silence within 3 s
    # Guards against a quiet entry that is not lent the rest of a limit.
    Given 40 entries without demand that share limits for 60 s
    When one of the quiet entries has demand for a whole limit
    Then within 3 s it may use more than half of the limit

  Scenario: The list fails for a long time
    # Guards against quiet entries that leave out acknowledgements on which
    # the use of a base share depends.
    Given 40 entries without demand that share limits for 60 s
    When the list of the sharing entries fails for 40 s
    Then the shares of the 40 entries sum up to the whole limit at each step
