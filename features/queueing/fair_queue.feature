Feature: Turns at a full service, shared fairly by client accounts

  Scenario: A service that is not full has no limit
    # Guards against calls that wait while slots are free.
    Given a queue
    When 500 calls of "a" arrive
    Then 500 calls run and 0 wait

  Scenario: The account with the fewest calls in flight is next
    # Guards against an account that gains by sending more than others.
    Given a queue with 4 running calls of "large" and a declined one
    When 5 calls of "large" arrive
    And 1 calls of "small" arrive
    And a call of "large" ends
    Then "small" has 1 running calls

  Scenario: Turns of one account follow its priorities, then its order
    # Guards against a less urgent call that overtakes.
    Given a queue with 4 running calls of "a" and a declined one
    When calls of "a" with the priorities "3, 1, 2, 1" arrive
    Then the turns of "a" have the priorities "0, 1, 1, 2, 3"

  Scenario: A call that would wait too long is refused at once
    # Guards against calls that wait until their deadline for nothing.
    Given a queue with 4 running calls of "a" and a declined one
    When 10 calls of "a" end and start within 1 s
    And 3 calls of "a" arrive
    Then a call of "a" with 0.8 s left is refused for 0.5 s
    And a call of "b" with 0.8 s left waits

  Scenario: A call at an entry with little traffic waits for a free slot
    # Guards against a refusal while slots become free: an entry that ended no
    # call within a second knows no rate.
    Given a queue with 1 running calls of "a" and a declined one
    Then a call of "b" with 1.0 s left waits

  Scenario: The limit rises until the service declines again
    # Guards against a service that stays limited after its endpoints return.
    Given a queue with 4 running calls of "a" and a declined one
    When 8 calls of "a" arrive
    And 0.6 s pass without a decline
    Then 13 calls run and 0 wait
    When 0.8 s pass without a decline
    Then the queue has no limit

  Scenario: Generated orders of events keep the counts
    # Guards against a limit that is never freed, as a turn was lost.
    Then generated events never lose a turn

  Scenario: A small account keeps its service beside a large one
    # Replays an account that sends five times its share to a service whose
    # endpoints are full. Without turns, its calls take the slots of others.
    Given a service of 4 slots with 80 ms a call
    When "large" sends 125 calls/s and "small" 8 calls/s for 3 s
    Then 95 in 100 calls of "small" are answered within 400 ms
    And the service ran at least 125 calls
    And each refused call was told when to return

  Scenario: Without turns a small account loses its service
    # Shows that the scenario above needs the order of the turns.
    Given a service of 4 slots with 80 ms a call
    When "large" sends 125 calls/s and "small" 8 calls/s for 3 s in no order
    Then less than 95 in 100 calls of "small" are answered within 400 ms

  Scenario: Calls that no endpoint got do not make the service look fast
    # Guards against calls that wait beyond their deadline at a full service,
    # as calls that are refused at once count as if they had been served.
    Given a full service whose calls take 100 ms, with 1 in flight and 45 waiting
    When 40 of them get their turn within a second unsent
    Then a call with 300 ms left is refused at once
