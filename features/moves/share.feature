Feature: Share of the new version

  Scenario Outline: The share of <replicas> replicas starts small and ends at 1
    # Guards against a schedule that rises too early or ends after done_by.
    Given a move of <replicas> replicas that lasts 600 s
    Then its mean share in the first 40 in 100 of the time is at most 0.05
    And its share at 93 in 100 of the time is 1

    Examples:
      | replicas |
      | 3        |
      | 4        |
      | 12       |
      | 96       |

  Scenario: A canary has the load of an old replica during a pulse
    # Guards against faults under load that appear only after the ramp.
    Given a move of 4 replicas that lasts 600 s
    Then some second of the first 200 s gives one replica a share of 0.25
    And each of its endpoints is a canary in the first 200 s

  Scenario: The version of a request is the same for each retry
    Given a move of 4 replicas that lasts 600 s
    Then a request of the move gets the same version at each attempt
    And a share of 0.3 gives the new version 0.3 of 10000 requests
    And a request that has the new version keeps it when the share grows

  Scenario: A move that was taken back has no share
    Given a move of 4 replicas that lasts 600 s
    Then its share after the verdict "TAKEN_BACK" is 0
