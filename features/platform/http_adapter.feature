Feature: Platform over HTTP

  Background:
    Given a platform stand-in with its HTTP adapter

  Scenario: A row is written only against its current version
    # Guards against two writers that both believe to have won.
    When the platform row "config/a b/é" is written as "one" against version 0
    Then the platform write gave version 1
    When the platform row "config/a b/é" is written as "two" against version 0
    Then the platform write conflicts with "one" at version 1
    When the platform row "config/a b/é" is written as "two" against version 1
    Then the platform write gave version 2

  Scenario: A scan returns the rows of its prefix by key
    When the platform row "moves/b/2" is written as "x" against version 0
    And the platform row "moves/b/1" is written as "x" against version 0
    And the platform row "moves/a" is written as "x" against version 0
    Then a platform scan of "moves" for "b/" gives "b/1, b/2"

  Scenario: A write whose answer is lost is unknown and is sent once
    # Guards against the HTTP client repeating a PUT by itself: its second
    # try would meet the first one and read as "nothing was written".
    Given the platform fault lose_write_answers is true
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is unknown
    And the platform carried out 1 writes
    And the platform row "config/head" holds "one" at version 1

  Scenario: A write that the platform is too slow to answer is unknown
    # Guards against reporting "not applied" for a write that arrives late.
    Given the platform fault slow_ms is 600
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is unknown
    And the platform row "config/head" soon holds "one"

  Scenario: A write to a platform that is down is refused
    Given the platform fault down is true
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is refused
    And a platform read is unavailable

  Scenario: A write to a refused connection is refused
    Given the platform stand-in has ended
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is refused
    And a platform read is unavailable

  Scenario: An answer that is not understood leaves a write unknown
    # Guards against taking an error page of something in between for a
    # refusal by the platform.
    Given a platform that answers every call with status 500 and "<html>"
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is unknown
    And a platform read is unavailable

  Scenario: A damaged success answer leaves a write unknown
    Given a platform that answers every call with status 200 and "{}"
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is unknown
    And a platform read is unavailable

  Scenario: Objects and weights are stored by name
    When the platform object "parts-1" is put as "body"
    Then the platform object "parts-1" is "body"
    And the platform object "parts-2" is missing
    Given the platform stores the weights "sum-v1"
    Then the platform has the weights "sum-v1" but not "sum-v2"

  Scenario: The instance list lags
    # Guards against tests that see changes of the list at once.
    Given the platform lists the instance "entry-1"
    And the platform fault list_lag_ms is 60000
    Then the platform list shows ""
    Given the platform fault list_lag_ms is 0
    Then the platform list shows "entry-1"
