Feature: Connections that callers keep open

  Scenario Outline: A connection stays open for the idle time of operators
    # Guards against a request that meets the close of its connection, as
    # callers keep connections for four fifths of the limit of operators.
    Given an entry that closes idle connections after 0.5 s by itself
    And a configuration that lets callers stay idle for <limit_ms> ms
    When a caller uses a connection, stays idle for <idle_s> s and uses it again
    Then the second request is answered on the same connection

    Examples:
      | limit_ms | idle_s |
      | 2500     | 2.0    |
      | 100      | 0.2    |

  Scenario: A connection that is idle for longer is closed
    # Guards against connections that callers leave behind for good.
    Given an entry that closes idle connections after 0.5 s by itself
    And a configuration that lets callers stay idle for 1000 ms
    When a caller uses a connection, stays idle for 1.5 s and uses it again
    Then the connection was closed before

  Scenario Outline: A raised limit applies to connections that are open
    # Guards against a request that meets the close of its connection, as the
    # limit was raised after the connection was opened.
    Given an entry that closes idle connections after 0.5 s by itself
    And a configuration that lets callers stay idle for 1500 ms
    When the limit becomes <limit_ms> ms while a connection is idle, and a caller that stays idle for <idle_s> s uses it again
    Then the second request is answered on the same connection

    Examples:
      | limit_ms | idle_s |
      | 4000     | 2.5    |
      | 8000     | 5.0    |

  Scenario: A raised limit ends, too
    # Guards against connections that stay open for good once the limit was
    # raised.
    Given an entry that closes idle connections after 0.5 s by itself
    And a configuration that lets callers stay idle for 1500 ms
    When the limit becomes 2500 ms while a connection is idle, and a caller that stays idle for 3 s uses it again
    Then the connection was closed before
