Feature: Entries of different size

  Scenario Outline: Work follows the capacity of the entries
    # Guards against lists that give each of 60 entries the same number of
    # connections, so that the 40 smallest are overloaded while others idle.
    Given 60 entries of 2.15, 1.29 and 0.387 cores
    When callers demand <demand> of all capacity with seeds 1, 2 and 3
    Then at most <high> of the work is at entries above 85 %, at least <before> by the older rule
    And no entry is used more than <bound> times as much as all of them

    Examples:
      | demand | high | before | bound |
      | 0.45   | 0.02 | 0.45   | 1.35  |
      | 0.55   | 0.02 | 0.55   | 1.15  |
      | 0.7    | 0.1  | 0.5    | 1.15  |
      | 0.8    | 0.3  | 0.5    | 1.15  |

  Scenario: An entry that reports half of its pressure is not overrun
    # Guards against an entry that attracts ever more work, as the others
    # believe that it has room.
    Given 60 entries of 2.15, 1.29 and 0.387 cores
    And entry 59 reports half of its pressure
    When callers demand 0.55 of all capacity with seeds 1, 2 and 3
    Then no entry is used more than 1.75 times as much as all of them

  Scenario: An entry that states too much capacity gets a bounded part
    # Guards against lists that consist of one entry by its own statement.
    Given 60 serving entries, of which 1 is at 70 %
    And entry 59 states 2000 times its capacity
    Then each list has at least 15 addresses

  Scenario: The greatest capacity that can be stated leaves others listed
    # Guards against lists of that entry alone, as the capacity of the others
    # is lost when it is rounded.
    Given 3 serving entries, of which 1 is at 70 %
    And entry 2 states 9223372036854775 times its capacity
    Then each list has at least 2 addresses

  Scenario Outline: Without pressure the list is the same as before
    # Guards against callers that lose addresses although nothing is full.
    Given <count> serving entries, of which <pressed> is at <pressure> %
    And the capacity of the listing entry is <capacity>
    Then its list is that of the older rule

    Examples:
      | count | pressed | pressure | capacity |
      | 60    | 60      | 60       | known    |
      | 420   | 0       | 0        | known    |
      | 60    | 30      | 95       | unknown  |

  Scenario: The others are listed if a whole domain is under pressure
    # Guards against callers that keep choosing entries without room.
    Given 60 serving entries, of which 20 is at 95 %
    Then only entries without pressure are listed

  Scenario: A quarter of the entries stays listed if most are overloaded
    # Guards against the load of all on the few that are just below the limit.
    Given 60 serving entries, of which 58 is at 100 %
    Then each list has at least 15 addresses

  Scenario: A large fleet under pressure lists as many as callers may get
    # Guards against answers that the platform rejects for their length.
    Given 420 serving entries, of which 1 is at 70 %
    Then each list has at least 64 addresses
    And each list has at most 64 addresses

  Scenario: An entry without news of others lists itself
    # Guards against an empty answer of an entry that is cut off.
    Given 0 serving entries, of which 0 is at 0 %
    Then an entry at 100 % lists itself

  Scenario Outline: Pressure is the use of the scarcest resource
    # Guards against a resource that runs out unnoticed.
    Given a machine of 0.5 cores, 100 MB and 8 Mbit/s
    When it uses <cores> cores, <memory> MB and <mbps> Mbit/s for 6 s
    Then its pressure is <percent>

    Examples:
      | cores | memory | mbps | percent |
      | 0.35  | 20     | 1    | 70      |
      | 0.05  | 80     | 1    | 80      |
      | 0.05  | 20     | 7.2  | 90      |
      | 0     | none   | 0    | 0       |

  Scenario: A machine whose cores are not stated reports no pressure
    # Guards against an older deployment whose lists change.
    Given a machine of 0 cores, 100 MB and 0 Mbit/s
    When it uses 0.5 cores, 90 MB and 9 Mbit/s for 6 s
    Then its pressure is 0

  Scenario: A burst counts within about a second
    # Guards against news of a burst that come after the burst.
    Given a machine of 0.5 cores, 100 MB and 8 Mbit/s
    When it uses 0.5 cores, 20 MB and 1 Mbit/s for 1 s
    Then its pressure is between 55 and 75

  Scenario: An entry that was frozen doesn't seem idle
    # Guards against an entry that attracts work right after it goes on, as
    # it used nothing while it was frozen.
    Given a machine of 0.5 cores, 100 MB and 8 Mbit/s
    When it uses 0.4 cores, 20 MB and 1 Mbit/s for 6 s
    And it is frozen for 5 s
    Then its pressure is 80

  Scenario: A pressed entry is left out of the lists of the others
    # Guards against pressure that is measured and not sent or not used.
    Given three entries, of which entry-2 has 0.001 cores
    Then entry-0 soon lists only entry-0 and entry-1
    And the metrics of entry-2 show its pressure

  Scenario: What is sent to endpoints and callers counts for the link
    # Guards against a link that is full without pressure.
    When a call with a body of 4000 bytes is answered
    Then between 4300 and 6000 bytes were counted as sent
