Feature: Shares of an account's limit

  Scenario: The split of a limit agrees with one made in small steps
    # Guards against a cap of the demands that lets the shares sum up to
    # more than the limit.
    Then the split agrees with its reference implementation on generated demands

  Scenario: Shares follow the demand
    # Guards against fixed shares: if all requests of an account arrive at
    # one of 6 entries, only a sixth of its limit could be used.
    Given 6 entries that exchange shares
    When the share demand of "e0" is 0.9 and of the others 0.01
    And 10 s of share exchange pass
    Then entry "e0" has a share of at least 0.85
    And no entry has a share below 0.01
    But with shares that never follow the demand "e0" has at most 0.17

  Scenario: Without messages each entry falls back to its base share
    # Guards against a borrower that uses a loan after its lease expired.
    Given 6 entries that exchange shares
    When the share demand of "e0" is 0.9 and of the others 0.01
    And 10 s of share exchange pass
    And entry "e0" is isolated
    And 5 s of share exchange pass
    Then entry "e0" has a share of at most 0.167
    And the sum of shares never exceeded the limit

  Scenario Outline: The shares fit into the limit, but not if one rule is missing
    # Guards against a change that removes one of the rules, and against
    # simulations that would not notice it.
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
    # Guards against any sequence of starts, crashes, pauses, partitions,
    # lost messages and unavailable lists that lets shares exceed the limit.
    # Clock rates are up to 10% off either way.
    Then generated faults never push the sum of shares over the limit

  Scenario: A paused entry does not use its old share
    # Guards against an entry that still admits when it resumes after its
    # confirmation and its leases have expired.
    Given 6 entries that exchange shares
    When 10 s of share exchange pass
    And entry "e0" is paused for 60 s and no longer listed
    Then entry "e0" has a share of at most 0.0

  Scenario: A restarted entry does not use shares lent before its restart
    # Guards against a restarted lender, which does not know its earlier
    # loans, using a share that a borrower still uses.
    Given 6 entries that exchange shares
    When the share demand of "e0" is 0.9 and of the others 0.01
    And 10 s of share exchange pass
    And entry "e1" restarts
    And 30 s of share exchange pass
    Then the sum of shares never exceeded the limit
    And entry "e1" has a share of at least 0.01

  Scenario: The full limit is usable soon after an entry starts
    # Guards against a start that leaves part of the limit unused for long.
    Given 6 entries that exchange shares
    When 10 s of share exchange pass
    And entry "e6" starts
    And 6 s of share exchange pass
    Then the sum of shares is at least 0.95
    And entry "e6" has a share of at least 0.1

  Scenario: The share of an entry that refuses connections is usable soon
    # Guards against leaving a crashed entry's share unused for 24 s although
    # its peer address refuses connections.
    Given 6 entries that exchange shares
    When 10 s of share exchange pass
    And entry "e1" crashes and is no longer listed
    And 12 s of share exchange pass
    Then the sum of shares is at least 0.99
    And the sum of shares never exceeded the limit

  Scenario: The share of an entry that may be running stays reserved
    # Guards against using the share of an entry that is unreachable but may
    # still admit requests.
    Given 6 entries that exchange shares
    When 10 s of share exchange pass
    And refused connections are not reported
    And entry "e1" crashes and is no longer listed
    And 12 s of share exchange pass
    Then the sum of shares is at most 0.84

  Scenario: A small concurrency limit is split in whole units
    # Guards against units lost in rounding, and against an entry that gets
    # more than one unit above or below its share of the split.
    Then whole units keep close to the even split on generated demands

  Scenario Outline: A concurrency limit below the number of entries is usable
    # Guards against shares below one unit at every entry, which admit no
    # request.
    Given 6 entries that exchange shares
    When an account with <limit> concurrent requests is wanted at <wanted>
    And 10 s of share exchange pass
    Then <units> requests may be in flight at all entries together
    But without whole units only <naive> may be in flight

    Examples:
      | limit | wanted | units | naive |
      | 4     | 6      | 4     | 0     |
      | 4     | 1      | 4     | 3     |
      | 1     | 1      | 1     | 1     |
      | 2     | 3      | 2     | 0     |
      | 64    | 6      | 60    | 60    |

  Scenario: A share in use by requests in flight is not lent
    # Guards against a borrower that admits requests while those of the
    # lender still use the concurrency limit.
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
    # Guards against a report with values that peer messages cannot carry,
    # and against malformed reports of peers.
    Then a demand report survives msgpack
    And a malformed demand report is refused

  Scenario: Old reports are ignored
    # Guards against a delayed report that restores an older loan.
    Then a demand report that arrives after a newer one changes nothing
