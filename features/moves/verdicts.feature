Feature: Verdicts on moves

  Scenario: A version is taken back locally while the store is down
    # Guards against sending to a bad version until the store is available.
    Given an entry that stores verdicts in a store that is down
    When it takes the version back
    Then its verdict is "TAKEN_BACK" and not stored yet
    When the store is available again and verdicts are flushed
    Then the stored verdict is "TAKEN_BACK"

  Scenario: A verdict is read back after the answer to its write is lost
    # Guards against a verdict that is written twice or never.
    Given an entry that stores verdicts in a store that loses one answer
    When it takes the version back and flushes
    Then the stored verdict is "TAKEN_BACK" with version 1
    And no verdict remains to be stored

  Scenario: A version is taken back although another entry found it done
    # Guards against a race in which the verdict "DONE" wins.
    Given two entries that store verdicts in one store
    When one finds the move done while the other takes it back
    Then both entries and the store have the verdict "TAKEN_BACK"

  Scenario: The verdict "DONE" does not replace "TAKEN_BACK"
    Given two entries that store verdicts in one store
    When one takes the move back and the other then finds it done
    Then both entries and the store have the verdict "TAKEN_BACK"

  Scenario: Verdicts merge to the same result in any order
    # Guards against entries whose verdicts differ permanently.
    Then merging verdicts is commutative, associative and idempotent

  Scenario: A disconnected entry stops sending to a new version
    # Guards against an entry that continues to send to a bad version.
    Given an entry that stores verdicts in a store that is up
    When it refreshes the verdict at 100 s
    Then it may send to the new version at 102 s but not at 104 s

  Scenario: A version that was taken back receives no requests again
    # Guards against an entry that reconnects and sends to the version again.
    Given two entries that store verdicts in one store
    When one takes the move back while the other is disconnected
    Then the disconnected entry does not send to the version after its lease
    When the disconnected entry can read the store again
    Then neither entry sends to the version under this move id
    And a move with another text digest may receive requests

  Scenario: A restarted entry sends nothing before it has read the verdict
    # Guards against a restarted entry, which has no verdicts in memory, that
    # sends to a bad version.
    Given two entries that store verdicts in one store
    When one takes the move back and a third entry starts
    Then the third entry does not send to the version
