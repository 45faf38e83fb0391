Feature: Calls to a store whose answers or rows are lost

  Scenario: Idle connections that are silent are not used again
    # Guards against a second time limit after the first: the next call would
    # use another connection that is silent as well.
    Given a store client with two idle connections
    When the connections become silent and a call gets no answer
    Then the next call is answered within 0.5 s
    And the silence was reported once

  Scenario: A short probe without an answer proves nothing
    # Guards against checks of all polls while a degraded store answers in
    # more than the limit of a probe.
    Given a store client with two idle connections
    When the connections become silent and a probe of 0.1 s gets no answer
    Then the silence was not reported

  Scenario: A poll that is ended early leaves no silent connection behind
    # Guards against a poll that is ended to ask the store at once, and a next
    # call that waits for its whole limit on another silent connection.
    Given a store client with two idle connections
    When the connections become silent and a poll is ended before its limit
    Then the next call is answered within 0.5 s
    And the silence was not reported

  Scenario Outline: A change between the pages of a table is not lost: <case>
    # Guards against a change in an earlier page, made before a later one is
    # read, if the changes are followed from the version of the last page.
    Given a store client
    When a table is read in pages of the versions "<versions>"
    Then its changes are followed from version <followed>

    Examples:
      | case                  | versions   | followed |
      | it changes            | 10, 12, 13 | 10       |
      | a page is a stale one | 10, 8      | 8        |
