Feature: Evidence of moves

  Scenario: Reordered and repeated evidence reports merge to the same counts
    # Guards against counts that depend on the order of delivery.
    Then evidence reports in any order and repeated give the same cells

  Scenario: The newest evidence report of an origin takes precedence
    # Guards against an old report that arrives late and replaces a newer one.
    Given an evidence report and a newer one of the same origin
    When an evidence window merges the newer report and then the older one
    Then the evidence window holds the counts of the newer report

  Scenario: An evidence window stays bounded
    # Guards against memory that grows with time or with invented routes.
    When an evidence window records 200 buckets and 6000 routes in one
    Then the evidence window holds at most 60 buckets and 4096 cells each
    And its report holds at most 1024 cells and is decoded unchanged

  Scenario: Evidence totals agree with a recount from the raw outcomes
    # Guards against counts that are lost or counted twice between entries.
    Then the events that a monitor compares agree with a naive recount

  Scenario: A malformed evidence report is rejected
    # Guards against another exception, which would not be handled, for bytes
    # from a peer.
    Then malformed evidence reports raise a value error

  Scenario Outline: A slowdown that no caller notices does not count
    # Guards against a good version of a fast service that is held at a small
    # share because of scheduling noise of a few milliseconds.
    Given an old version whose requests take 2 ms
    Then a request of <ms> ms of the new version counts as <verdict>

    Examples:
      | ms | verdict  |
      | 6  | not slow |
      | 50 | slow     |
