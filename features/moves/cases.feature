Feature: Complete moves on seeded streams of requests

  Scenario Outline: Good versions are done in time: <case>
    # Guards against taking back a version because of faults around it.
    When 20 seeded moves of the case "<case>" run at the small sizes
    Then at least 20 of these moves are done in time

    Examples:
      | case                   |
      | good-plain             |
      | good-engine-deaths     |
      | good-dead-domain       |
      | good-store-outage      |
      | good-little-traffic    |
      | good-dependency-outage |

  Scenario Outline: Bad versions are taken back: <case>
    # Guards against a kind of fault that the evidence does not reveal.
    When 20 seeded moves of the case "<case>" run at the small sizes
    Then at least <least> of these moves are taken back
    And none of these moves sent requests 3 s after the verdict

    Examples:
      | case               | least |
      | fails-at-once      | 20    |
      | slow-at-once       | 20    |
      | fails-late         | 20    |
      | fails-under-load   | 20    |
      | slow-under-load    | 20    |
      | fails-on-one-route | 19    |

  Scenario: Evidence over all routes alone misses a fault on one route
    # Shows that evidence by route is needed: the failures of a route with one
    # percent of the requests are too few in the total.
    Given a new version that fails on a route with one percent of requests
    Then evidence by route is conclusive
    And evidence over all routes alone is not conclusive
