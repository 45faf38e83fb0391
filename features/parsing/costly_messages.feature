Feature: Messages that are costly to parse

  Scenario Outline: A message without content is throttled, then given up
    # Chunks of one byte without end must not occupy the processor.
    Given a message of <parts> parts with <content_bytes> bytes each
    Then the message is <state>

    Examples:
      | parts  | content_bytes | state     |
      | 64     | 0             | free      |
      | 65     | 0             | throttled |
      | 4096   | 1             | throttled |
      | 4400   | 1             | given up  |
      | 100000 | 16            | given up  |
      | 100000 | 40            | throttled |
      | 100000 | 200           | throttled |
      | 100000 | 256           | free      |

  Scenario: Content of before pays for few chunks later
    # A long body must not allow a flood of short chunks after it.
    Given a message of 100 parts with 16384 bytes each
    When 4161 parts of 0 bytes follow
    Then the message is given up

  Scenario: Events that reach their caller pay for their chunks
    # A sound stream sends one short event in a chunk for minutes.
    Given a stream of 100000 events in a chunk of 40 bytes each
    Then the message is free

  Scenario: Throttled messages share one part of the processor
    # 34 faulty connections must leave the processor to sound requests.
    Given 34 messages that each take 2 ms of the processor at a time
    When they are parsed for 8 s
    Then they took at most 16 % of the processor together
    And each of them went on at least 15 times

  Scenario: A throttle that was not used owes nothing
    # The first message after a quiet time must not wait for earlier ones.
    Given a throttle that was last used 10 s ago
    When a message takes 2 ms of the processor
    Then it goes on within 14 ms

  Scenario: Costly messages that have ended do not delay others
    # Guards against callers that send costly bodies, leave, and come again:
    # what they cost must not add up to a pause of many seconds.
    Given 1000 messages that each took 5 ms of the processor and ended
    When a message takes 2 ms of the processor
    Then it goes on within 500 ms
