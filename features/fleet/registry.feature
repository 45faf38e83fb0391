Feature: Endpoints across outages of the store

  Scenario: Lapsed rows come back after an outage
    # Guards against refusing every request of a service whose rows lapsed
    # while the store was away.
    Given a registry with the endpoints "a, b"
    When the store is away and returns at 10.0 s
    And the row of "a" is removed at 10.1 s
    Then "a, b" are usable at 11.9 s
    When the row of "a" is written again
    Then "a, b" are usable at 13.0 s

  Scenario: A row that stays away is taken as gone
    # Guards against sending to endpoints that ended during an outage.
    Given a registry with the endpoints "a, b"
    When the store is away and returns at 10.0 s
    And the row of "a" is removed at 10.1 s
    Then "b" are usable at 12.4 s

  Scenario: Without an outage a removal counts at once
    # Guards against late requests at endpoints that left.
    Given a registry with the endpoints "a, b"
    When the row of "a" is removed at 20.0 s
    Then "b" are usable at 20.0 s

  Scenario: An endpoint that was replaced is left out
    # Guards against asking every endpoint of a restarted zone again and
    # again, which exhausts the retry budget.
    Given a registry with the endpoints "a, b"
    When another start answers at the address of "a"
    Then "b" are usable at 1.0 s
    When the row of "a" tells a new start
    Then "a, b" are usable at 1.0 s

  Scenario: Old news of a replacement does not hit the next start
    # Guards against leaving out an endpoint for ever that started again
    # under its id.
    Given a registry with the endpoints "a, b"
    When the row of "a" tells a new start
    And another entry tells that the first start of "a" was replaced
    Then "a, b" are usable at 1.0 s

  Scenario: A start that is adopted in an outage ends with its proof
    # Guards against keeping an endpoint for ever that the store never lists.
    Given a registry with the endpoints "a, b"
    When the store is away and "c" is adopted at the address of "a"
    Then "b, c" are usable at 1.0 s
    When the store is away and returns at 10.0 s
    Then "b" are usable at 12.4 s

  Scenario: An adopted start stays once it is listed
    # Guards against dropping it for a moment when the store returns.
    Given a registry with the endpoints "a, b"
    When the store is away and "c" is adopted at the address of "a"
    And the store is away and returns at 10.0 s
    And the row of "c" is written again
    Then "b, c" are usable at 12.4 s

  Scenario: Nothing is adopted while the store answers
    # Guards against using endpoints that the store knows to be gone.
    Given a registry with the endpoints "a, b"
    When the store answers and "c" is adopted at the address of "a"
    Then "a, b" are usable at 1.0 s

  Scenario: An old row does not undo a newer one
    # Guards against reads that are out of date.
    Given a registry with the endpoints "a, b"
    When the row of "a" says that it leaves
    And an older row of "a" arrives
    Then "b" are usable at 1.0 s
