Feature: Entries pass large configurations on to each other

  Scenario Outline: A large configuration does not fill the links of entries
    # Guards against changes of a configuration with 1,400 routes that arrive
    # later one after the other, and against requests that wait meanwhile: the
    # smallest machine has a link of 5 Mbit/s, and entries compare their
    # versions each 0.25 s.
    Given an entry that knows a configuration of 1400 routes
    When another entry gets it <way>
    Then it has installed the same configuration
    And a link of 5 Mbit/s takes less than 0.25 s for each answer

    Examples:
      | way                          |
      | as a table                   |
      | as a change                  |
      | with the state of this entry |

  Scenario: An entry of an earlier version gets the configuration as it is
    # Guards against an update in which entries that still run the earlier
    # version reject the configurations of the others.
    Given an entry that knows a configuration of 1400 routes
    When an entry of an earlier version asks for the table and the state
    Then both contain the configuration as it was stored

  Scenario: An entry accepts a configuration that is not compressed
    # Guards against the reverse: entries of an earlier version answer
    # without compression.
    Given an entry of an earlier version that knows a configuration
    When another entry gets it as a table
    Then it has installed the same configuration

  Scenario Outline: A damaged compressed configuration is not installed
    # Guards against an entry that ends, or that takes all memory, because
    # another one sent bytes that expand without end.
    Given an entry that sends <content> as a configuration
    When another entry gets it <way>
    Then the source counts as failed and nothing was installed

    Examples:
      | content          | way                          |
      | damaged bytes    | as a table                   |
      | 100 MB of zeroes | as a table                   |
      | damaged bytes    | with the state of this entry |
      | 100 MB of zeroes | with the state of this entry |

  Scenario: The log tells how long a configuration took
    # Guards against pauses by large configurations that cannot be told from
    # others.
    Given an entry that takes 0.05 s to adopt a configuration of 1400 routes
    Then its log line states the size and the time to decode and to install it
