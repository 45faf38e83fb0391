Feature: HTTP adapter of the platform

  Background:
    Given a platform stand-in with its HTTP adapter

  Scenario: A row is written only if its version is the expected one
    # Guards against two concurrent writers that both get a success.
    When the platform row "config/a b/é" is written as "one" against version 0
    Then the platform write gave version 1
    When the platform row "config/a b/é" is written as "two" against version 0
    Then the platform write conflicts with "one" at version 1
    When the platform row "config/a b/é" is written as "two" against version 1
    Then the platform write gave version 2

  Scenario: A scan returns the rows with its prefix in key order
    When the platform row "moves/b/2" is written as "x" against version 0
    And the platform row "moves/b/1" is written as "x" against version 0
    And the platform row "moves/a" is written as "x" against version 0
    Then a platform scan of "moves" for "b/" gives "b/1, b/2"

  Scenario: A write whose answer is lost is unknown and is sent once
    # Guards against the HTTP client repeating a PUT on its own: the second
    # attempt would conflict with the first one and be reported as "nothing
    # was written".
    Given the platform fault lose_write_answers is true
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is unknown
    And the platform has executed 1 writes
    And the platform row "config/head" holds "one" at version 1

  Scenario: A write that the platform does not answer in time is unknown
    # Guards against reporting "not applied" for a write that the platform
    # applies after the timeout.
    Given the platform fault slow_ms is 600
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is unknown
    And the platform row "config/head" soon holds "one"

  Scenario: A write to a platform that is down is refused
    # Guards against an unknown outcome for a write that the platform states
    # not to have applied.
    Given the platform fault down is true
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is refused
    And a platform read is unavailable

  Scenario: A write is refused if the platform refuses the connection
    # Guards against an unknown outcome for a write that was never sent.
    Given the platform stand-in has terminated
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is refused
    And a platform read is unavailable

  Scenario: A write with an unexpected error answer is unknown
    # Guards against taking the error page of an intermediary for a refusal
    # by the platform.
    Given a platform that answers every call with status 500 and "<html>"
    When the platform row "config/head" is written as "one" against version 0
    Then the platform write is unknown
    And a platform read is unavailable

  Scenario: A write with a malformed success answer is unknown
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
    # Guards against a stand-in that shows changes of the list at once, which
    # the platform does not.
    Given the platform lists the instance "entry-1"
    And the platform fault list_lag_ms is 60000
    Then the platform list shows ""
    Given the platform fault list_lag_ms is 0
    Then the platform list shows "entry-1"
