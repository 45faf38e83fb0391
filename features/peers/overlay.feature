Feature: Overlay, members and address answers

  Scenario Outline: The overlay connects all instances with few links
    # Guards against a cost per node that grows, and against islands.
    Given an overlay of <count> instances
    Then each instance has at most 6 peers, the same from both ends
    And a message crosses the overlay in at most <hops> hops

    Examples:
      | count | hops |
      | 2     | 1    |
      | 3     | 1    |
      | 6     | 2    |
      | 9     | 2    |
      | 60    | 5    |
      | 420   | 7    |

  Scenario: The overlay stays whole when a failure domain dies
    # Guards against instances cut off with their neighbours.
    Given an overlay of 420 instances
    When a quarter of the instances is excluded
    Then each instance has at most 6 peers, the same from both ends
    And a message crosses the overlay in at most 7 hops

  Scenario: A replaced instance changes few links
    # Guards against a reconnection of everything at each restart.
    Given an overlay of 420 instances
    When one instance is replaced
    Then at most 12 instances have other peers

  Scenario: Client accounts are spread over the entries
    # Guards against all accounts at the same few entries.
    Given 420 members of the entry
    Then 830 client accounts with 8 addresses each load no entry with over 3 times its part

  Scenario: A draining entry is left out of address answers at once
    # Guards against callers sent to an entry that is about to stop.
    Given 9 members of the entry
    When one member that is in an address answer is draining
    Then the new address answer differs in that member only

  Scenario: An address answer has a deadline
    # Guards against callers that keep an answer for ever.
    Given 9 members of the entry
    Then an address answer at 1000 s for 10 s is valid until 1010 s

  Scenario: Facts in any order give the same members
    # Guards against members that depend on the path of a message.
    Then random facts in two orders give the same members

  Scenario: A resumed incarnation does not replace the new one
    # Guards against calls sent to a process that was replaced.
    Given a membership that heard of "b" with incarnation 2
    When it hears of "b" with incarnation 1 and state "live"
    Then it holds "b" with incarnation 2 and state "live"

  Scenario: A leaving incarnation does not become live again
    # Guards against new work for an instance that drains.
    Given a membership that heard of "b" with incarnation 2
    When it hears of "b" with incarnation 2 and state "leaving"
    And it hears of "b" with incarnation 2 and state "live"
    Then it holds "b" with incarnation 2 and state "leaving"

  Scenario: A replacement is live although the list lags
    # Guards against a new instance that is taken for its predecessor.
    Given a membership that heard of "b" with incarnation 2
    When the list says that "b" is "leaving"
    Then it holds "b" with incarnation 2 and state "leaving"
    When it hears of "b" with incarnation 3 and state "live"
    And the list says that "b" is "leaving"
    Then it holds "b" with incarnation 3 and state "live"

  Scenario: An instance that leaves the list is no member
    # Guards against an instance that died without a word.
    Given a membership that heard of "b" with incarnation 2
    When the list says that "b" is "live"
    And the list no longer has "b"
    Then it does not hold "b"

  Scenario: A process learns that it was replaced
    # Guards against a resumed process that goes on as if nothing were.
    Given a membership that heard of "b" with incarnation 2
    When it hears of itself with a newer incarnation
    Then it is superseded

  Scenario: Flooded messages pass once
    # Guards against messages that circulate.
    Then a flood filter agrees with a naive one on random messages

  Scenario Outline: Reports use few links and survive deaths
    # Guards against duplicates without end and against lost paths.
    Given a simulated overlay of <count> instances with random delays
    When 40 reports are sent and an instance dies after the 20th
    Then settled reports reach all instances with at most <copies> copies each
    And no instance misses more than 16 reports in a row

    Examples:
      | count | copies |
      | 9     | 1.2    |
      | 60    | 1.2    |
      | 200   | 1.2    |
