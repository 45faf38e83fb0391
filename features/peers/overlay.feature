Feature: Overlay, members and address answers

  Scenario Outline: The overlay connects all instances with few links
    # Guards against a number of links per instance that grows with the size
    # of the overlay, and against parts of it without a connection.
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

  Scenario: The overlay stays connected when a failure domain dies
    # Guards against instances that are disconnected because most of their
    # neighbours died.
    Given an overlay of 420 instances
    When a quarter of the instances is excluded
    Then each instance has at most 6 peers, the same from both ends
    And a message crosses the overlay in at most 7 hops

  Scenario: A replaced instance changes few links
    # Guards against a restart that makes most instances open new links.
    Given an overlay of 420 instances
    When one instance is replaced
    Then at most 12 instances have other peers

  Scenario: Client accounts are spread over the entries
    # Guards against address answers that send all accounts to the same few
    # entries.
    Given 420 members of the entry
    Then 830 client accounts with 8 addresses each load no entry with over 3 times its share

  Scenario: A draining entry is left out of address answers at once
    # Guards against callers that are sent to an entry which is about to stop.
    Given 9 members of the entry
    When one member that is in an address answer is draining
    Then the new address answer differs in that member only

  Scenario: An address answer has a deadline
    # Guards against callers that cache an answer without limit.
    Given 9 members of the entry
    Then an address answer at 1000 s for 10 s is valid until 1010 s

  Scenario: Facts in any order give the same members
    # Guards against members that depend on the order in which facts arrive
    # over different paths.
    Then random facts in two orders give the same members

  Scenario: A resumed incarnation does not replace the new one
    # Guards against calls that are sent to a replaced process, because a
    # fact about it arrives late.
    Given a membership that received a fact about "b" with incarnation 2
    When it receives a fact about "b" with incarnation 1 and state "live"
    Then it has "b" as a member with incarnation 2 and state "live"

  Scenario: A leaving incarnation does not become live again
    # Guards against new work for a draining instance, because an older fact
    # arrives late.
    Given a membership that received a fact about "b" with incarnation 2
    When it receives a fact about "b" with incarnation 2 and state "leaving"
    And it receives a fact about "b" with incarnation 2 and state "live"
    Then it has "b" as a member with incarnation 2 and state "leaving"

  Scenario: A replacement is live although the list lags
    # Guards against a replacement that gets no work because the platform's
    # list still shows its predecessor as leaving.
    Given a membership that received a fact about "b" with incarnation 2
    When the list says that "b" is "leaving"
    Then it has "b" as a member with incarnation 2 and state "leaving"
    When it receives a fact about "b" with incarnation 3 and state "live"
    And the list says that "b" is "leaving"
    Then it has "b" as a member with incarnation 3 and state "live"

  Scenario: An instance that leaves the list is no member
    # Guards against an instance that died without announcing it and remains
    # a member.
    Given a membership that received a fact about "b" with incarnation 2
    When the list says that "b" is "live"
    And the list no longer has "b"
    Then it has no member "b"

  Scenario: A process detects that it was replaced
    # Guards against a process that continues its work after a pause, although
    # its replacement has taken over.
    Given a membership that received a fact about "b" with incarnation 2
    When it receives a fact about itself with a newer incarnation
    Then it is superseded

  Scenario: Flooded messages are accepted once
    # Guards against messages that circulate in the overlay.
    Then a flood filter agrees with a naive one on random messages

  Scenario Outline: Reports use few links and survive deaths
    # Guards against links that keep delivering duplicates, and against
    # instances that get no more reports after a death on their path.
    Given a simulated overlay of <count> instances with random delays
    When 40 reports are sent and an instance dies after the 20th
    Then settled reports reach all instances with at most <copies> copies each
    And no instance misses more than 16 reports in a row

    Examples:
      | count | copies |
      | 9     | 1.2    |
      | 60    | 1.2    |
      | 200   | 1.2    |
