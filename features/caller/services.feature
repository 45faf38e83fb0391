Feature: Calls of plain services

  Scenario: A call whose answer is lost is retried with the same key
    # Guards against running a call twice when the connection fails after it
    # ran.
    Given a system of 2 entry doubles
    And the first entry called for a service "loses the answer"
    When the caller files a complaint with an issued key
    Then the complaint was filed 1 times
    And all service requests had the same key
    And the service answered with status 201

  Scenario: Without a key a lost answer is an unknown outcome
    # Guards against retrying a call that may have run and has no idempotency
    # key.
    Given a system of 2 entry doubles
    And the first entry called for a service "loses the answer"
    When the caller files a complaint without a key
    Then the call fails with OutcomeUnknown
    And the complaint was filed 1 times

  Scenario Outline: <code> with a key: <effect>
    Given a system of 2 entry doubles
    And every entry called for a service answers "code <code>" <times> times
    When the caller files a complaint with an issued key
    Then <effect>
    And all service requests had the same key

    Examples:
      | code | times | effect                                |
      | 2000 | 1     | the service answered with status 201  |
      | 2000 | 9     | the call fails with Refused           |
      | 3000 | 1     | the call fails with OutcomeUnknown    |
      | 3002 | 1     | the call fails with OutcomeUnknown    |
      | 3001 | 1     | the service answered with status 201  |
      | 3001 | 9     | the call fails with OutcomeUnknown    |
      | 4006 | 1     | the call fails with Refused           |
      | 2003 | 1     | the call fails with Refused           |

  Scenario: A rejected retry does not hide that the first attempt may have run
    # Guards against "not run" for a call whose first attempt ran, lost its
    # answer and was then rejected elsewhere.
    Given a system of 1 entry doubles
    And the entry called for a service loses an answer and then refuses
    When the caller files a complaint with an issued key
    Then the call fails with OutcomeUnknown

  Scenario Outline: The command <command> prints JSON
    # Guards against output that scripts cannot parse.
    Given a system of 2 entry doubles
    When the command "<command>" runs against it
    Then it prints JSON with the key "<key>"

    Examples:
      | command                                   | key       |
      | addresses                                 | addresses |
      | complete m hello --max-tokens 4 --seed 11 | token_ids |
      | service portal POST complaints            | status    |
