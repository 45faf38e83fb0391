Feature: Permits for endpoints with a limit

  Scenario Outline: Entries together keep to a limit and use it
    # Guards against an endpoint that gets one and a half times what it can
    # take, and against a limit of which entries without requests hold parts.
    # 7,300 requests/s are the load of the largest fleet.
    When <entries> entries send <rate> requests/s from <senders> of them to an endpoint with a limit of <limit>
    Then it gets at most 1.5 times the limit and 5 requests in any 4 s
    And at least 80 in 100 of the limit are used
    And at most <questions> questions/s are asked

    Examples:
      | entries | rate | senders | limit | questions |
      | 1       | 40   | 1       | 2     | 10        |
      | 3       | 40   | 3       | 4     | 20        |
      | 6       | 60   | 6       | 4     | 30        |
      | 6       | 60   | 1       | 1     | 10        |
      | 9       | 600  | 9       | 25    | 120       |
      | 58      | 300  | 58      | 25    | 200       |
      | 195     | 500  | 195     | 4     | 220       |
      | 195     | 300  | 1       | 4     | 20        |
      | 420     | 800  | 420     | 4     | 420       |
      | 420     | 7300 | 420     | 4     | 420       |
      | 420     | 7300 | 1       | 4     | 20        |
      | 420     | 800  | 420     | 0.5   | 420       |

  Scenario: Equal shares do not keep to a limit
    # A limit that is divided among hundreds of entries is exceeded by their
    # first requests, and hardly used if one of them has all the traffic.
    Then equal shares of 420 entries exceed a limit of 4
    And equal shares of 420 entries use less than 5 in 100 of it if one sends

  Scenario Outline: The limit holds while entries come and go
    # Guards against two entries that both issue all permits, or none that
    # does.
    When <entries> entries send 200 requests/s to an endpoint with a limit of 4 while <event>
    Then it gets at most 1.5 times the limit and 5 requests in any 4 s
    And at least <used> in 100 of the limit are used

    Examples:
      | entries | event                        | used |
      | 6       | the coordinator restarts     | 60   |
      | 195     | the coordinator restarts     | 60   |
      | 9       | all restart one by one       | 50   |
      | 9       | the fleet is cut in halves   | 60   |
      | 195     | the fleet is cut in halves   | 60   |
      | 6       | all but one are lost         | 25   |

  Scenario: A limit that changes is followed
    # Guards against permits at the rate that was stated first.
    When an endpoint with a limit of 10 states a limit of 1 after 10 s
    Then it gets at most 11 requests in any 4 s from 12 s on

  Scenario: A request that only confirms a limit is rarely granted
    # Guards against entries that each confirm the limit of an endpoint.
    When 50 entries each ask every 100 ms for 20 s to confirm a limit of 4
    Then at most 11 and at least 8 permits are granted

  Scenario: Callers come back one after the other
    # Guards against a burst that repeats itself after a common Retry-After.
    When 40 callers are refused at once by a limit of 10
    Then their return times are at least 80 ms apart up to 4 s

  Scenario: Callers are not told to stay away for minutes
    # Guards against return times that grow with each refused request.
    When 2000 callers are refused at once by a limit of 10
    Then no return time is later than 10 s
    And the return times of the last 1000 are spread over at least 4 s

  Scenario: A confirmation that is not needed does not use up a limit
    # Guards against an entry that leaves an endpoint alone for seconds, as
    # another one has just confirmed its limit.
    Given an endpoint with a limit of 10 that another request confirmed just now
    When a request that would confirm the limit is denied
    Then an ordinary request may be sent at once

  Scenario: The coordinator decides by the lowest limit that is known
    # Guards against permits at a rate that the endpoint has lowered since, for
    # an entry that has not learned of it.
    Given a coordinator that knows a limit of 1
    When entries that know a limit of 10 ask it every 50 ms for 20 s
    Then at most 22 permits are granted

  Scenario: An entry that does not answer delays a request once
    # Guards against a call that waits for a frozen entry once for each
    # endpoint whose permits that entry issues.
    Given 3 endpoints whose coordinator does not answer
    When a request asks for a permit at each of them
    Then the coordinator was asked once
