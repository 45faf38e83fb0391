Feature: Token sequence of one answer

  Scenario: The sequence agrees with the reference for random events
    # Guards against any missing, repeated or mixed token when events of
    # several attempts arrive duplicated, overlapping, late or with gaps.
    Then the sequence and the reference agree on 800 random histories

  Scenario Outline: The <guard> check keeps an answer correct
    # Guards against the removal of a check: a variant without it delivers a
    # wrong answer for the same events.
    Given the answer "a b c d e f" with at most 6 tokens
    And <history>
    When the events go to the sequence and to one without the "<guard>" check
    Then only the variant without the check delivers a wrong answer

    Examples:
      | guard             | history                                                              |
      | attempt number    | the events "begin; start 0; 0 a b; begin; start 2; old 2 x; 2 c d e f; end 6"  |
      | request id        | the events "begin; start 0; 0 a b; other 2 x; 2 c d e f; end 6"        |
      | overlap           | the events "begin; start 0; 0 a b; begin; start 2; 1 x y z; 2 c d e f; end 6"  |
      | gap               | the events "begin; start 0; 0 a b; 3 d e f; end 6"                     |
      | token count       | the events "begin; start 0; 0 a b; end 6"                              |
      | identity          | the events "begin; start 0; 0 a b; begin; mismatched start 2; 2 x y"   |
      | recomputed digest | the caller already has "a b", which the events "recompute; start 0; 0 x y z" continue |

  Scenario: The identity is fixed once a token was delivered
    # Guards against a second attempt with another version.
    Given the answer "a b c" with at most 3 tokens
    And the events "begin; start 0; 0 a"
    When the events go to the sequence
    Then an attempt with another version, adapter or seed cannot begin

  Scenario: The prefix takes four bytes per token
    # Guards against a prefix that is stored as a list of objects.
    Then a sequence of 50000 tokens holds less than 300000 bytes of prefix

  Scenario: The rolling digest does not depend on how tokens are split
    # Guards against digests that differ between two entries for one answer.
    Then random splits of token ids give equal digests and other ids do not
