Feature: Request limits in the answers of endpoints

  Scenario Outline: A stated limit is read
    # Guards against requests beyond a limit that was not understood, and
    # against a limit that ends because one answer states it badly.
    Given an endpoint that had stated a limit of 5 requests/s
    When an answer states "<stated>"
    Then the limit is "<limit>"

    Examples:
      | stated                     | limit |
      | 4                          | 4     |
      | 4.25                       | 4.25  |
      | .5                         | 0.5   |
      | 4, 3                       | 3     |
      | 4; Server-Limit: 3         | 3     |
      | 4, nan                     | 4     |
      | 0                          | 0.1   |
      | 0.001                      | 0.1   |
      | 10000                      | 10000 |
      | 999999999999               | none  |
      | (empty)                    | 5     |
      | many                       | 5     |
      | nan                        | 5     |
      | inf                        | 5     |
      | -1                         | 5     |
      | 1e3                        | 5     |
      | 1_000                      | 5     |
      | 4 per second               | 5     |
      | ٤                          | 5     |
      | (1000 digits)              | 5     |
      | (absent)                   | none  |

  Scenario Outline: A limit that cannot be used does not limit an endpoint
    # Guards against an endpoint that is hardly used because of a bad value.
    Given an endpoint that had stated no limit
    When an answer states "<stated>"
    Then the limit is "none"

    Examples:
      | stated  |
      | (empty) |
      | nan     |
      | -1      |

  Scenario: Limits that cannot be used are logged at a bounded rate
    # Guards against a log line for each answer of a faulty endpoint, and
    # against ignoring a stated limit without one.
    Given an endpoint that had stated no limit
    When 500 answers state "nan" within 50 s
    Then 1 log line says "An endpoint stated an unusable request limit."

  Scenario: A limit that changes with each answer is logged at a bounded rate
    # Guards against a log line for each answer.
    Given an endpoint that had stated no limit
    When 500 answers state "1" and "9" by turns within 50 s
    Then at most 51 log lines say "The request limit of an endpoint changed."
