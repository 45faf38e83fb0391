Feature: Evidence of moves

  Scenario: Evidence reports merge alike in any order and any number
    # Guards against counts that depend on how reports were delivered.
    Then evidence reports in any order and repeated give the same cells

  Scenario: The newest evidence report of an origin holds
    # Guards against an old report that arrives late and undoes a newer one.
    Given an evidence report and a newer one of the same origin
    When an evidence book merges the newer report and then the older one
    Then the evidence book holds the counts of the newer report

  Scenario: An evidence book stays bounded
    # Guards against memory that grows with time or with made-up routes.
    When an evidence book records 200 buckets and 6000 routes in one
    Then the evidence book holds at most 60 buckets and 4096 cells each
    And its report holds at most 1024 cells and survives the wire

  Scenario: Evidence sums agree with a recount from the raw outcomes
    # Guards against counts that are lost or doubled between entries.
    Then the events that a watch compares agree with a naive recount

  Scenario: An evidence report of a wrong shape is refused
    # Guards against an exception of another kind on bytes from a peer.
    Then evidence reports of a wrong shape raise a value error

  Scenario Outline: A change that no caller notices is not slow
    # Guards against a good version of a quick service that is held at a
    # small share because of noise of a few milliseconds.
    Given an old version whose requests take 2 ms
    Then a request of <ms> ms of the new version counts as <verdict>

    Examples:
      | ms | verdict  |
      | 6  | not slow |
      | 50 | slow     |
