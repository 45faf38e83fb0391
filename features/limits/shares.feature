Feature: Shares of an account's limit

  Scenario: The split of a limit agrees with handing it out in small steps
    # Guards against a water level that gives away more than the limit.
    Then the split agrees with its plain re-statement on generated demands

  Scenario: Shares follow the demand
    # Guards against a limit that is used to a sixth only because one entry
    # gets all of an account's requests.
    Given 6 entries that exchange shares
    When the share demand of "e0" is 0.9 and of the others 0.01
    And 10 s of share exchange pass
    Then entry "e0" has a share of at least 0.85
    And no entry has a share below 0.01
    But with shares that never follow the demand "e0" has at most 0.17

  Scenario: Without messages each entry falls back to its base share
    # Guards against a share kept after its lender took it back.
    Given 6 entries that exchange shares
    When the share demand of "e0" is 0.9 and of the others 0.01
    And 10 s of share exchange pass
    And entry "e0" is cut off
    And 5 s of share exchange pass
    Then entry "e0" has a share of at most 0.167
    And the sum of shares never exceeded the limit

  Scenario Outline: The sum stays at most the limit with a guard, not without
    # Guards against the loss of each single guard.
    When <scenario> is simulated with <variant>
    Then the sum of shares stayed within the limit: <within>

    Examples:
      | scenario    | variant             | within |
      | a partition | the real shares     | yes    |
      | a partition | without fallback    | no     |
      | a partition | without reservation | no     |
      | a join      | the real shares     | yes    |
      | a join      | without waiting     | no     |

  Scenario: The sum stays at most the limit under generated faults
    # Guards against any order of starts, deaths, pauses, partitions, lost
    # lists and store outages, with clock rates 10% apart either way.
    Then generated faults never push the sum of shares over the limit

  Scenario: A paused entry does not use its old share
    # Guards against a holder that was paused past its deadlines.
    Given 6 entries that exchange shares
    When 10 s of share exchange pass
    And entry "e0" is paused for 60 s and no longer listed
    Then entry "e0" has a share of at most 0.0

  Scenario: A restarted entry does not use what its old process lent
    # Guards against a new process that does not know of open loans.
    Given 6 entries that exchange shares
    When the share demand of "e0" is 0.9 and of the others 0.01
    And 10 s of share exchange pass
    And entry "e1" restarts
    And 30 s of share exchange pass
    Then the sum of shares never exceeded the limit
    And entry "e1" has a share of at least 0.01

  Scenario: A limit is used again soon after an entry starts
    # Guards against a start that costs the limit for long.
    Given 6 entries that exchange shares
    When 10 s of share exchange pass
    And entry "e6" starts
    And 6 s of share exchange pass
    Then the sum of shares is at least 0.95
    And entry "e6" has a share of at least 0.1

  Scenario: The share of an entry that refuses connections is used soon
    # Guards against 24 s without a dead entry's share, although its peer
    # address refuses connections.
    Given 6 entries that exchange shares
    When 10 s of share exchange pass
    And entry "e1" dies and is no longer listed
    And 12 s of share exchange pass
    Then the sum of shares is at least 0.99
    And the sum of shares never exceeded the limit

  Scenario: The share of an entry that may live is kept
    # Guards against taking the share of an entry that only cannot be
    # reached.
    Given 6 entries that exchange shares
    When 10 s of share exchange pass
    And refused connections cannot be seen
    And entry "e1" dies and is no longer listed
    And 12 s of share exchange pass
    Then the sum of shares is at most 0.84

  Scenario: A small concurrency limit is split in whole units
    # Guards against units that are lost or given to entries without demand.
    Then whole units keep close to the even split on generated demands

  Scenario Outline: A concurrency limit below the number of entries is usable
    # Guards against shares below one unit everywhere, which admit nothing.
    Given 6 entries that exchange shares
    When an account with <limit> concurrent requests is wanted at <wanted>
    And 10 s of share exchange pass
    Then <units> requests may be in flight at all entries together
    But without whole units only <naive> may

    Examples:
      | limit | wanted | units | naive |
      | 4     | 6      | 4     | 0     |
      | 4     | 1      | 4     | 3     |
      | 1     | 1      | 1     | 1     |
      | 2     | 3      | 2     | 0     |
      | 64    | 6      | 60    | 60    |

  Scenario: Requests in flight are not lent away
    # Guards against a borrower that admits on top of what still runs.
    Given 6 entries that exchange shares
    When an account with 4 concurrent requests is wanted at 1
    And 10 s of share exchange pass
    And entry "e0" has all 4 in flight and entry "e1" wants them
    And 20 s of share exchange pass
    Then entry "e1" may have 0 requests in flight
    When the requests of entry "e0" end
    And 10 s of share exchange pass
    Then entry "e1" may have 4 requests in flight

  Scenario: Reports pass through msgpack unchanged
    # Guards against a report type that the peer link cannot carry.
    Then a demand report survives msgpack
    And a malformed demand report is refused

  Scenario: Old reports are ignored
    # Guards against a late message that revives an older loan.
    Then a demand report that arrives after a newer one changes nothing
