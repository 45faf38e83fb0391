Feature: Relay with stand-in engine processes

  Each answer is compared with the tokens that the seed determines.

  Scenario Outline: <fault> in the middle of an answer
    # Guards against lost, repeated or mixed tokens, and against a resume
    # that takes longer than the caller waits.
    Given 2 engine processes
    When an answer of 300 tokens is relayed and after 100 tokens <fault>
    Then the relayed answer is the expected one
    And no two tokens are more than <limit> s apart
    And the engines computed at most <extra> tokens more than were delivered

    Examples:
      | fault                          | limit | extra |
      | nothing happens                | 3     | 0     |
      | the engine gets SIGKILL        | 1     | 105   |
      | the engine exits               | 1     | 105   |
      | the engine gets SIGSTOP        | 3     | 300   |
      | the engine freezes             | 3     | 300   |
      | its connections become idle    | 3     | 0     |
      | its streams end early          | 1     | 0     |

  Scenario: Each engine that serves the answer is killed
    # Guards against a resume that works only once per answer.
    Given 4 engine processes
    When an answer of 300 tokens is relayed and each engine is killed after 50 tokens
    Then the relayed answer is the expected one

  Scenario: A non-deterministic engine cannot change what was delivered
    # Guards against a recomputed answer that is mixed with the delivered one.
    Given 2 engine processes
    When an answer of 60 tokens is interrupted at 30 and the engines are non-deterministic
    Then it ends with code 5001 and nothing more is delivered
