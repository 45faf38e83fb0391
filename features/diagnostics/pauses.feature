Feature: Pauses of the event loop are measured and attributed

  Scenario Outline: A pause tells whether the process computed
    # Guards against taking a machine that gave the process no processor for
    # a process that computed for too long, and the other way round.
    Given an event loop whose timer is due every 0.25 s
    When it computes for <computed> s and waits without a processor for <waited> s, 0.1 s after the timer
    Then it was held up for <held_up> s
    And it did not run for at least <not_run> s of these

    Examples:
      | computed | waited | held_up | not_run |
      | 0.0      | 0.0    | 0.0     | 0.0     |
      | 0.1      | 0.0    | 0.0     | 0.0     |
      | 0.65     | 0.0    | 0.5     | 0.0     |
      | 0.0      | 0.65   | 0.5     | 0.5     |
      | 0.2      | 0.45   | 0.5     | 0.3     |

  Scenario: A pause is known before the timer fires, and for a second
    # Guards against a cut request whose line names no pause, as its callback
    # runs before that of the timer, and against old pauses in such lines.
    Given an event loop whose timer is due every 0.25 s
    When it waits without a processor for 0.65 s, 0.1 s after the timer
    Then the longest recent pause is 0.5 s before the timer has fired
    And it is 0.5 s for a second after that, and 0 s later

  Scenario: Pauses that recur do not fill the log
    # Guards against a warning each quarter of a second, as warnings are
    # exempt from the rate limit of the log.
    Given a monitor of a process whose timer fires 0.3 s late for 11 s
    Then the pauses were logged at most once a second and at least 9 times
    And each such line names the requests in flight and the private memory

  Scenario Outline: High memory is logged before the limit is reached
    # Guards against a process that is ended for its memory without a line
    # that tells of it, and against lines of a process that uses little.
    Given a monitor of a process that uses <used> MB of 100 MB for 3 s
    Then high memory was logged <lines> times
    And the gauge of private memory is <used> MB

    Examples:
      | used | lines |
      | 74   | 0     |
      | 76   | 3     |

  Scenario Outline: The private memory is read where it is stated
    # Guards against a fault of the maintenance on machines that state none.
    Given a process status "<status>"
    Then its private memory is "<bytes>" bytes

    Examples:
      | status                                        | bytes   |
      | VmRSS:    9000 kB;RssAnon:    2048 kB;Vm: 1 kB | 2097152 |
      | VmRSS:    9000 kB;                            | None    |
      | RssAnon:  many kB;                            | None    |
      | RssAnon:                                      | None    |
      |                                               | None    |

  Scenario: The private memory of a machine without such a file
    # Guards against the same where there is no such file.
    Given a process status file that does not exist
    Then its private memory is "None" bytes

  Scenario Outline: An entry tells that its event loop was held up
    # Guards against requests that nobody served for a time, with no trace.
    Given an entry whose event loop <cause> for 0.8 s
    When that entry has run
    Then it logged one pause of at least 0.25 s, in which it "<cause>"
    And its metrics have one pause above 0.25 s and its private memory

    Examples:
      | cause    |
      | computes |
      | sleeps   |

  Scenario: An entry knows its last configuration and SIGHUP
    # Guards against cut requests that are not put down to the change before
    # them.
    Given an entry that installed a configuration and got SIGHUP
    Then both are in the fields of its log lines
