Feature: Sequential test of moves

  Scenario: An e-value of a block has the expectation one
    # Guards against a test that takes good versions back too often.
    Then the mean e-value over all draws without replacement is one

  Scenario: The evidence against a good version seldom passes its limit
    # Guards against stakes on later starts that sum to more than one.
    When 400 good versions are tested with many starts
    Then at most 8 of them ever pass an e-value of 50

  Scenario: Failures of a single endpoint are not conclusive
    # Guards against taking back a good version because an engine failed.
    Given a new version that fails on one endpoint of three
    Then the finding is above its limit in total but is not conclusive

  Scenario: Failures of a single failure domain are not conclusive
    # Guards against taking back a good version because a domain failed.
    Given a new version that fails in one failure domain of three
    Then the finding is above its limit in total but is not conclusive

  Scenario: Failures on all endpoints are conclusive
    Given a new version that fails in all three failure domains
    Then the finding is conclusive
