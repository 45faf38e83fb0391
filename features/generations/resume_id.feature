Feature: Resume ids

  Scenario: Opening a resume id returns the sealed state
    # Guards against fields that are lost or swapped by the encoding.
    Then random resume states survive sealing and opening

  Scenario: Modified, truncated or forged resume ids are refused
    # Guards against forged positions and against an uncaught exception.
    Then random texts and random changes of a resume id give code 4007

  Scenario: A validly sealed body with another layout is refused
    # Guards against an uncaught exception on ids of another release.
    Then random msgpack bodies under the right key give a state or code 4007

  Scenario: A resume id is opened with an older key until that key is removed
    # Guards against answers that a key rotation interrupts.
    Given a resume id that was sealed with an older key
    Then it opens with the keys "new, old" and not with the keys "new"

  Scenario Outline: A resume id continues only its own request
    # Guards against tokens of one client account or prompt that reach another.
    Given a resume id of a request
    When the request is repeated with another <field>
    Then the repeated request is refused with code <code>

    Examples:
      | field            | code |
      | prompt           | 4008 |
      | model            | 4008 |
      | max_tokens       | 4008 |
      | seed             | 4008 |
      | client account   | 4008 |
      | time             | 4009 |
      | token            | 4010 |
      | number of tokens | 4010 |

  Scenario: Tokens without a resume id are refused
    # Guards against a prefix that no seal authenticates.
    Given a resume id of a request
    When the request is repeated with tokens and no resume id
    Then the repeated request is refused with code 4000

  Scenario: A resumed generation keeps the sealed seed, version and position
    Given a resume id of a request
    When the request is repeated with its tokens
    Then the generation continues with the sealed state
