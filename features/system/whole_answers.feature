Feature: Complete answers from real processes

  Scenario: The engine is killed in the middle of an answer
    # Guards against missing, repeated or wrong tokens when another engine
    # continues the answer.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy engine gets SIGKILL
    Then the caller's answer is complete and equals that of one engine

  Scenario: A frozen engine resumes and sends tokens of its old attempt
    # Guards against delivering late tokens of a superseded attempt.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy engine gets SIGSTOP
    And another engine continues the answer
    And the frozen engine gets SIGCONT
    Then the caller's answer is complete and equals that of one engine

  Scenario: Open connections stall while new ones work
    # Guards against a second prefill although the engine's stream still runs
    # and can be resumed over a new connection.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the open connections of the busy engine stall
    Then the caller's answer is complete and equals that of one engine
    And only one engine computed a prompt

  Scenario: A stream ends without its end event
    # Guards against taking a truncated stream for a complete answer.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy engine ends its streams early
    Then the caller's answer is complete and equals that of one engine

  Scenario: The entry instance is killed in the middle of an answer
    # Guards against an answer that only the entry that began it can finish.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy entry instance gets SIGKILL
    Then the caller's answer is complete and equals that of one engine

  Scenario: The entry instance freezes in the middle of an answer
    # Guards against a caller that waits for ever for an unresponsive entry.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy entry instance gets SIGSTOP
    Then the caller's answer is complete and equals that of one engine

  Scenario: Entry instance and engine are killed together
    # Guards against state of the answer that only the killed processes hold.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy engine gets SIGKILL
    And the busy entry instance gets SIGKILL
    Then the caller's answer is complete and equals that of one engine

  Scenario: The platform's store is down for the whole answer
    # Guards against generations that depend on the store.
    Given a small site with 3 engines
    And the platform is down
    When a caller asks for an answer of 400 tokens
    And the busy engine gets SIGKILL
    Then the caller's answer is complete and equals that of one engine

  Scenario: The service is removed from the text in the middle of an answer
    # Guards against rejecting a resume because its version was removed from
    # the text although its endpoints still run.
    Given a small site with 3 engines
    When a caller asks for an answer of 1200 tokens
    And a text without the model service is in force everywhere
    And the busy entry instance gets SIGKILL
    Then the caller's answer is complete and equals that of one engine

  Scenario: The last replica of the version is killed
    # Guards against an answer with tokens of two versions.
    Given a small site with 1 engines
    And an engine of version v2 that the text names
    When a caller asks for an answer of 400 tokens
    And the busy engine gets SIGKILL
    Then the caller gets a partial answer with code 5000
