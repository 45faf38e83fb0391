Feature: Roll-outs that operators ask for on the platform

  Scenario Outline: Bad versions get little and are taken back: <size> <case>
    # Replays roll-outs in which a new version fails or is slow. Guards
    # against callers that meet a bad version again and again.
    When <count> roll-outs of a <size> service run in which the version <case>
    Then none of them exceeds the allowed exposure
    And at least <least> of them are taken back in time

    Examples:
      | size        | case                     | count | least |
      | quiet       | fails from the start     | 20    | 16    |
      | plain       | fails from the start     | 20    | 20    |
      | plain       | is slow from the start   | 20    | 20    |
      | plain       | fails after a while      | 20    | 19    |
      | grown       | fails from the start     | 10    | 10    |
      | grown       | is slow from the start   | 10    | 10    |
      | grown       | fails after a while      | 10    | 9     |
      | grown       | fails on one route       | 10    | 8     |
      | grown plain | fails from the start     | 6     | 6     |
      | grown plain | is slow from the start   | 6     | 6     |
      | grown plain | fails after a while      | 6     | 6     |
      | grown plain | fails on one route       | 6     | 6     |

  Scenario Outline: Good versions are completed in time: <size> <case>
    # Guards against blaming a version for failures of both.
    When <count> roll-outs of a <size> service run in which the version <case>
    Then at least <least> of them are completed in time

    Examples:
      | size        | case                     | count | least |
      | quiet       | is sound                 | 20    | 19    |
      | plain       | is sound                 | 20    | 19    |
      | plain       | fails like the old one   | 20    | 18    |
      | grown       | is sound                 | 10    | 10    |
      | grown plain | fails like the old one   | 6     | 6     |

  Scenario: A share that only grows with time exceeds the exposure
    # The naive baseline of the scenarios above.
    When 4 naive roll-outs of a grown service run in which the version fails after a while
    Then all of them exceed the allowed exposure

  Scenario: An entry that did not hear the order learns it from others
    # Guards against an entry without the store that goes on sending to a
    # version that was taken back.
    Given a roll-out that entry "a" takes back
    When entry "b" hears of it
    Then "b" sends nothing to the new version

  Scenario: Old news do not revive a version
    # Guards against a verdict that reverts.
    Given a roll-out that entry "a" takes back
    When entry "a" hears old news of a running roll-out
    Then "a" sends nothing to the new version

  Scenario: A newer order asks again
    # Guards against a version that can never be offered again.
    Given a roll-out that entry "a" takes back
    When the operator asks again
    Then "a" may send to the new version

  Scenario: The version that is asked for already runs everywhere
    # Guards against refusing everything, as there is no old version.
    When an order names the only version and 1000 requests are sent
    Then all of them had an endpoint

  Scenario: Two entries want different ends
    # Guards against a status that is completed and later rolled back.
    Given a store with a running roll-out
    When one entry completes it and another takes it back at the same time
    Then the store holds one end and both entries follow it

  Scenario: The answer to a status is lost
    # Guards against writing another end after the first took effect.
    Given a store with a running roll-out
    When an entry completes it and the answer is lost
    And another entry wants to take it back
    Then the store holds "completed" and both entries follow it

  Scenario: All entries restart in the middle
    # Guards against a roll-out that starts anew after a loss of power.
    Given a store with a running roll-out
    When an entry that knows nothing starts 6 s later
    Then it takes the roll-out as 6 s old

  Scenario: Damaged rows are told
    # Guards against a process that ends because of an operator's slip.
    Then rows that are no orders or no status are refused
