Feature: Sequential test of moves

  Scenario: An e-value of a block has the expectation one
    # Guards against a test that blames good versions too often.
    Then the mean e-value over all draws without replacement is one

  Scenario: The evidence of a good version seldom passes its limit
    # Guards against stakes of late starts that sum to more than one.
    When 400 good versions are bet against with many starts
    Then at most 8 of them ever pass an e-value of 50

  Scenario: One sick endpoint is not blamed on the version
    # Guards against taking back a good version because an engine died.
    Given a new version whose failures sit on one endpoint of three
    Then the finding is above its limit in sum but is no proof

  Scenario: One sick failure domain is not blamed on the version
    # Guards against taking back a good version because a domain died.
    Given a new version whose failures sit in one failure domain of three
    Then the finding is above its limit in sum but is no proof

  Scenario: Failures on all endpoints are blamed on the version
    Given a new version whose failures are spread over three domains
    Then the finding is a proof
