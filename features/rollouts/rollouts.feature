Feature: Roll-outs ordered by operators on the platform

  Scenario Outline: Bad versions are limited and rolled back: <size> <case>
    # Simulates roll-outs in which the new version fails or is slow. Guards
    # against a bad version that receives more requests than allowed.
    When <count> roll-outs of a <size> service run in which the version <case>
    Then none of them exceeds the allowed exposure
    And at least <least> of them are rolled back in time

    Examples:
      | size        | case                     | count | least |
      | low-traffic | fails from the start     | 20    | 16    |
      | plain       | fails from the start     | 20    | 20    |
      | plain       | is slow from the start   | 20    | 20    |
      | plain       | fails after a while      | 20    | 19    |
      | large       | fails from the start     | 10    | 10    |
      | large       | is slow from the start   | 10    | 10    |
      | large       | fails after a while      | 10    | 9     |
      | large       | fails on one route       | 10    | 8     |
      | large plain | fails from the start     | 6     | 6     |
      | large plain | is slow from the start   | 6     | 6     |
      | large plain | fails after a while      | 6     | 6     |
      | large plain | fails on one route       | 6     | 6     |

  Scenario Outline: A version that fails under load only is rolled back: <size>
    # Guards against a version that is completed although it fails, as it gets
    # so few requests until shortly before the end that its endpoints are
    # hardly loaded. Some of these versions show too little in the allowed
    # number of requests.
    When <count> roll-outs of a <size> service run in which the version fails under load
    Then at least <least> of them are rolled back in time

    Examples: size
      | size        | count | least |
      | large plain | 6     | 6     |
      | short plain | 60    | 60    |

  Scenario Outline: The exposure is limited if nothing is found: <size>
    # Guards against the requests of the last part, which all go to the new
    # version: one that fails only under load shows nothing before.
    When <count> roll-outs of a <size> service run in which the version fails at the end
    Then none of them exceeds the allowed exposure

    Examples:
      | size        | count |
      | plain       | 20    |
      | large plain | 6     |

  Scenario Outline: Good versions are completed in time: <size> <case>
    # Guards against a rollback because of failures that both versions have.
    When <count> roll-outs of a <size> service run in which the version <case>
    Then at least <least> of them are completed in time

    Examples:
      | size        | case                     | count | least |
      | low-traffic | is healthy               | 20    | 19    |
      | plain       | is healthy               | 20    | 19    |
      | plain       | fails like the old one   | 20    | 18    |
      | large       | is healthy               | 10    | 10    |
      | large plain | fails like the old one   | 6     | 6     |

  Scenario: A share that grows with time alone exceeds the exposure
    # Shows that a simple schedule does not pass the scenarios above.
    When 4 naive roll-outs of a large service run in which the version fails after a while
    Then all of them exceed the allowed exposure

  Scenario: An entry that did not read the order receives it from others
    # Guards against an entry that cannot reach the store and keeps sending
    # requests to a version that was rolled back.
    Given a roll-out that entry "a" rolls back
    When entry "b" receives its report
    Then "b" sends nothing to the new version

  Scenario: An old report does not restart a roll-out
    # Guards against a rollback that is undone by a delayed report.
    Given a roll-out that entry "a" rolls back
    When entry "a" receives an old report of a running roll-out
    Then "a" sends nothing to the new version

  Scenario: A newer order starts a new roll-out
    # Guards against a version that can never be rolled out again.
    Given a roll-out that entry "a" rolls back
    When the operator orders the version again
    Then "a" may send to the new version

  Scenario: The ordered version already runs everywhere
    # Guards against rejecting all requests because there is no old version.
    When the only version is ordered and 1000 requests are sent
    Then all of them have an endpoint

  Scenario: Two entries end a roll-out differently
    # Guards against a status that is first completed and then rolled back, if
    # two entries decide at the same moment.
    Given a store with a running roll-out
    When one entry completes it while another rolls it back
    Then the store holds one final state and both entries adopt it

  Scenario: The answer to a status write is lost
    # Guards against a second final state after the first one was stored by a
    # write whose answer was lost.
    Given a store with a running roll-out
    When an entry completes it and the answer is lost
    And another entry decides to roll it back
    Then the store holds "completed" and both entries adopt it

  Scenario Outline: The status of a newer order is kept: <case>
    # Guards against an entry that still has an older order and writes its end
    # over the state of the newer one. The entry itself wrote it in the era
    # before, if the store was restored and gave out versions again.
    Given a store with a running roll-out
    When the status is that of an order whose row has a greater version
    And the store lists <listed>
    And an entry rolls back the roll-out
    Then the status is that of <result>

    Examples:
      | case     | listed             | result          |
      | newer    | the newer order    | the newer order |
      | restored | the entry's order  | the entry       |

  Scenario: All entries restart during a roll-out
    # Guards against a roll-out that begins again after a power failure.
    Given a store with a running roll-out
    When an entry without any state starts 6 s later
    Then the roll-out is 6 s old at this entry

  Scenario Outline: An order that leaves out what it moves is rejected
    # Guards against a version that gets all requests without a comparison, as
    # an empty name or time of an order is taken for one.
    Then the order <order> is rejected

    Examples:
      | order                                          |
      | {"service": "s", "to": "", "duration_s": 12}   |
      | {"service": "", "to": "v2", "duration_s": 12}  |
      | {"service": "s", "to": "v2", "duration_s": 0}  |
      | {"service": "s", "to": "v2", "duration_s": -5} |
      | {"service": "s", "to": "v2"}                   |

  Scenario: Invalid rows are rejected
    # Guards against a process that crashes on a malformed operator's row.
    Then rows that are not valid orders or statuses are rejected
