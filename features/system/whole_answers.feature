Feature: Whole answers from real processes

  Scenario: The engine is killed in the middle of an answer
    # Guards against missing, repeated or mixed tokens after a loss.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy engine gets SIGKILL
    Then the caller's answer is whole and as one engine would write it

  Scenario: The engine is frozen in the middle and wakes up to send on
    # Guards against late tokens of an older attempt being delivered.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy engine gets SIGSTOP
    And the answer goes on at another engine
    And the frozen engine gets SIGCONT
    Then the caller's answer is whole and as one engine would write it

  Scenario: Open connections go silent while new ones work
    # Guards against a new prefill where the engine's stream still runs.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the open connections of the busy engine go silent
    Then the caller's answer is whole and as one engine would write it
    And only one engine computed a prompt

  Scenario: A stream ends without its end mark
    # Guards against a cut stream being taken for the end of the answer.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy engine ends its streams early
    Then the caller's answer is whole and as one engine would write it

  Scenario: The entry instance is killed in the middle of an answer
    # Guards against an answer that only one entry could finish.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy entry instance gets SIGKILL
    Then the caller's answer is whole and as one engine would write it

  Scenario: The entry instance freezes in the middle of an answer
    # Guards against a caller that waits for ever on a silent entry.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy entry instance gets SIGSTOP
    Then the caller's answer is whole and as one engine would write it

  Scenario: Entry instance and engine are killed together
    # Guards against state that neither survivor holds.
    Given a small site with 3 engines
    When a caller asks for an answer of 400 tokens
    And the busy engine gets SIGKILL
    And the busy entry instance gets SIGKILL
    Then the caller's answer is whole and as one engine would write it

  Scenario: The platform's store is down for the whole answer
    # Guards against generations that need the store.
    Given a small site with 3 engines
    And the platform is down
    When a caller asks for an answer of 400 tokens
    And the busy engine gets SIGKILL
    Then the caller's answer is whole and as one engine would write it

  Scenario: The text drops the service in the middle of an answer
    # Guards against a resume that is refused because its version is gone
    # from the text although its endpoints still run.
    Given a small site with 3 engines
    When a caller asks for an answer of 1200 tokens
    And a text without the model service is in force everywhere
    And the busy entry instance gets SIGKILL
    Then the caller's answer is whole and as one engine would write it

  Scenario: No replica of the version is left
    # Guards against a mixture of two versions.
    Given a small site with 1 engines
    And an engine of version v2 that the text names
    When a caller asks for an answer of 400 tokens
    And the busy engine gets SIGKILL
    Then the caller is told with code 5000 that the answer is partial
