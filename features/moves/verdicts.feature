Feature: Verdicts on moves

  Scenario: A version is taken back here while the store is down
    # Guards against sending to a bad version until the store returns.
    Given an entry that keeps verdicts in a store that is down
    When it takes the version back
    Then its verdict is "TAKEN_BACK" and waits to be stored
    When the store returns and verdicts are flushed
    Then the stored verdict is "TAKEN_BACK"

  Scenario: A lost answer to a verdict write is read back
    # Guards against a verdict that is written twice or given up.
    Given an entry that keeps verdicts in a store that loses one answer
    When it takes the version back and flushes
    Then the stored verdict is "TAKEN_BACK" with version 1
    And nothing waits to be stored

  Scenario: A version is taken back although another entry said done
    # Guards against a race in which the weaker verdict wins.
    Given two entries that keep verdicts in one store
    When one calls the move done while the other takes it back
    Then both entries and the store say "TAKEN_BACK"

  Scenario: A done verdict does not undo one that was taken back
    Given two entries that keep verdicts in one store
    When one takes the move back and the other then calls it done
    Then both entries and the store say "TAKEN_BACK"

  Scenario: Verdicts merge alike in any order
    # Guards against entries that keep different verdicts for good.
    Then merging verdicts is commutative, associative and idempotent

  Scenario: A cut off entry stops offering a moving version
    # Guards against an entry that goes on sending to a bad version.
    Given an entry that keeps verdicts in a store that is up
    When it refreshes the verdict at 100 s
    Then it may offer the new version at 102 s but not at 104 s

  Scenario: A version that was taken back is not offered again
    # Guards against an entry that was cut off and offers the version anew.
    Given two entries that keep verdicts in one store
    When one takes the move back while the other is cut off
    Then the cut off entry offers the version at no time after its lease
    When the cut off entry can read the store again
    Then neither entry offers the version under this move id
    And a move with another text digest is offered

  Scenario: A restarted entry offers nothing before it has asked
    # Guards against a fresh entry without memory that offers a bad version.
    Given two entries that keep verdicts in one store
    When one takes the move back and a third entry starts
    Then the third entry does not offer the version
