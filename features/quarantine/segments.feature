Feature: Segments of prompts that crash endpoints

  Scenario: Two crashes block the prompts with their segments
    # Guards against requests of one kind that end one endpoint after the
    # other.
    Given two entries
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 10.0 | e1       | a b      |
      | 1     | 12.0 | e2       | a b      |
    Then entry 1 blocks "a b" at 12.0 s
    And entry 1 blocks "b a c" at 12.0 s

  Scenario: Entries that each see a part of the crashes block together
    # Guards against as many crashes at each entry as one entry needs.
    Given two entries
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 10.0 | e1       | a b      |
      | 2     | 12.0 | e2       | a b      |
    Then entry 2 admits "a b" at 12.0 s
    When the entries exchange reports at 12.1 s
    Then entry 1 blocks "a b" at 12.1 s
    And entry 2 blocks "a b" at 12.1 s

  Scenario: An entry that starts again learns of the blocks
    # Guards against crashing endpoints anew after each restart.
    Given two entries
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 10.0 | e1       | a b      |
      | 1     | 12.0 | e2       | a b      |
    And the entries exchange reports at 12.1 s
    And entry 1 starts again
    Then entry 1 admits "a b" at 14.0 s
    When the entries exchange reports at 14.1 s
    Then entry 1 blocks "a b" at 14.1 s

  Scenario: Prompts with a part of the segments find the one at fault
    # Guards against refusing sound prompts that share a segment with those
    # that crash endpoints.
    Given two entries
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 10.0 | e1       | a b      |
      | 1     | 12.0 | e2       | a b      |
    Then entry 1 admits "a" at 12.0 s
    And entry 1 admits "b c" at 12.0 s
    When an answer to "a c" at entry 2 that began at 13.0 s goes on
    And these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 14.0 | e3       | b c      |
    And the entries exchange reports at 14.1 s
    Then entry 1 blocks "b" at 14.1 s
    And entry 1 admits "a" at 14.1 s
    And entry 1 admits "a c" at 14.1 s

  Scenario: A sound answer after the crashes ends a block
    # Guards against refusing prompts after the cause of the crashes is gone.
    Given two entries
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 10.0 | e1       | a b      |
      | 1     | 12.0 | e2       | a b      |
    And the entries exchange reports at 12.1 s
    And an answer to "a b" at entry 2 that began at 13.0 s goes on
    And the entries exchange reports at 13.6 s
    Then entry 1 admits "a b" at 13.6 s
    And entry 2 admits "a b" at 13.6 s

  Scenario: A segment with sound answers needs more crashes
    # Guards against refusing all prompts with a common segment when several
    # endpoints crash for a reason of their own.
    Given two entries
    When an answer to "a" at entry 1 that began at 5.0 s goes on
    And these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 10.0 | e1       | a        |
      | 1     | 10.5 | e2       | a        |
      | 1     | 11.0 | e3       | a        |
      | 1     | 11.5 | e4       | a        |
    Then entry 1 admits "a" at 11.5 s
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 12.0 | e5       | a        |
    Then entry 1 blocks "a" at 12.0 s

  Scenario: Endpoints that crash at the same time count as one crash
    # Guards against blaming the prompts of a failure domain that is lost.
    Given two entries
    When these crashes are seen
      | entry | at_s  | endpoint | segments |
      | 1     | 10.0  | e1       | a        |
      | 1     | 10.05 | e2       | a        |
      | 2     | 10.1  | e3       | a        |
    And the entries exchange reports at 10.2 s
    Then entry 1 admits "a" at 10.2 s

  Scenario: A prompt that crashes endpoints at once is not taken for one crash
    # Guards against short prompts whose attempts crash within milliseconds.
    Given two entries
    When these crashes are seen
      | entry | at_s  | endpoint | segments | sent_s |
      | 1     | 10.00 | e1       | a        | 9.97   |
      | 1     | 10.04 | e2       | a        | 10.01  |
    Then entry 1 blocks "a" at 10.05 s

  Scenario: A block ends with trials that become rarer
    # Guards against a block for ever, and against endpoints that are
    # crashed by trials again and again.
    Given two entries
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 10.0 | e1       | a        |
      | 1     | 12.0 | e2       | a        |
    Then entry 1 blocks "a" at 71.9 s
    And entry 1 admits "a" at 72.1 s
    And entry 1 blocks "a" at 72.2 s
    And entry 1 admits "a" from 82.1 s
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 74.0 | e3       | a        |
    Then entry 1 blocks "a" at 193.9 s
    And entry 1 admits "a" at 194.1 s

  Scenario: The evidence of a block is reported before newer crashes
    # Guards against an entry that starts again and admits prompts that the
    # others block, as endpoints crashed for other reasons since.
    Given two entries
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 10.0 | e1       | a b      |
      | 1     | 12.0 | e2       | a b      |
    And 30 prompts crash an endpoint each
    And the entries exchange reports at 45.0 s
    Then entry 2 blocks "a b" at 45.0 s

  Scenario: A prompt of many segments does not hide the other evidence
    # Guards against entries that no longer hear of crashes, as one prompt
    # has more segments than a heartbeat holds.
    Given two entries
    When these crashes are seen
      | entry | at_s | endpoint | segments                  |
      | 1     | 10.0 | e1       | a b                       |
      | 1     | 12.0 | e2       | a b                       |
      | 1     | 14.0 | e3       | c d e f g h i j k l m n o |
      | 1     | 16.0 | e4       | c d e f g h i j k l m n o |
    And the entries exchange reports at 16.1 s
    Then entry 2 blocks "a b" at 16.1 s
    And entry 1 blocks "c d e f g h i j k l m n o" at 16.1 s

  Scenario: A heartbeat with evidence fits a datagram
    # Guards against heartbeats that are cut into several packets.
    Given two entries
    When 30 prompts crash an endpoint each
    Then its report takes at most 700 bytes

  Scenario: Crashes are forgotten
    # Guards against memory that grows with the time that an entry runs.
    Given two entries
    When 200 prompts crash an endpoint each
    Then entry 1 keeps at most 64 crashes
    And its report has at most 12 segments
    When an hour passes
    Then entry 1 keeps at most 0 crashes

  Scenario Outline: Replay of a fleet whose endpoints crash
    # Guards against more than three prompts that reach endpoints later than
    # 3 s after a fifth crash, and against refusing sound prompts beside
    # endpoints that crash for reasons of their own.
    Given a fleet of <entries> entries and <endpoints> endpoints
    And a share of <share> of one kind of prompt crashes endpoints
    And endpoints also crash by themselves <rate> times a second
    When the fleet runs for 60 s with <seeds> seeds
    Then at most 5 endpoints crash by prompts in each run
    And at most 3 crashing prompts reach endpoints later than 3 s after a fifth crash
    And no sound prompt is refused

    Examples:
      | entries | endpoints | share | rate | seeds |
      | 9       | 18        | 0.05  | 0    | 5     |
      | 9       | 18        | 0.4   | 0.3  | 5     |
      | 9       | 18        | 1.0   | 0.3  | 5     |
      | 6       | 12        | 0.2   | 1.0  | 5     |
      | 6       | 12        | 0     | 1.0  | 5     |
      | 58      | 71        | 0.3   | 1.0  | 2     |

  Scenario Outline: Replay of a fleet whose endpoints crash while prompts wait
    # Guards against crashes that leave no evidence, as they come before the
    # head of an answer, and against refusing the sound prompts that an
    # endpoint takes along.
    Given a fleet of <entries> entries and <endpoints> endpoints
    And a share of <share> of one kind of prompt crashes endpoints from <from_s> s on, <stage>
    And endpoints get <load> requests a second each, half of them with a segment of their own
    And endpoints also crash by themselves <rate> times a second
    When the fleet runs for 30 s with <seeds> seeds
    Then at most 3 crashing prompts reach endpoints later than 3 s after a fifth crash
    And at most 1 of 100 sound prompts is refused
    And at most half of those that come later than 6 s after that crash

    Examples:
      | entries | endpoints | share | from_s | stage           | load | rate | seeds |
      | 6       | 10        | 0.06  | 4      | before the head | 1.0  | 0    | 3     |
      | 6       | 10        | 0.36  | 0      | before the head | 3.0  | 0    | 2     |
      | 6       | 10        | 1.0   | 4      | before the head | 3.0  | 0.3  | 1     |
      | 6       | 10        | 1.0   | 0      | after the head  | 3.0  | 0    | 1     |
      | 9       | 18        | 1.0   | 0      | before the head | 3.0  | 0    | 1     |
      | 58      | 71        | 0.36  | 4      | before the head | 1.0  | 0    | 1     |

  Scenario: Crashes while different prompts wait are evidence
    # Guards against endpoints that crash before the head of an answer and
    # leave no evidence.
    Given two entries that each got 50 other prompts
    When these crashes are seen
      | entry | at_s | endpoint | segments | stage   |
      | 1     | 10.0 | e1       | a b, x   | waiting |
      | 1     | 12.0 | e2       | a c, y   | waiting |
    Then entry 1 admits "a" at 12.0 s
    When these crashes are seen
      | entry | at_s | endpoint | segments | stage   |
      | 1     | 14.0 | e3       | a d, z   | waiting |
      | 1     | 16.0 | e4       | a e      | waiting |
    Then entry 1 blocks "a" at 16.0 s
    And entry 1 admits "b" at 16.0 s
    And entry 1 admits "x" at 16.0 s

  Scenario: A request that waits at three crashing endpoints is not blamed
    # Guards against giving up a sound request whose endpoints crash by
    # others.
    Given two entries that each got 50 other prompts
    When these crashes are seen
      | entry | at_s | endpoint | segments | stage   |
      | 1     | 10.0 | e1       | a b      | waiting |
      | 1     | 12.0 | e2       | a b      | waiting |
      | 1     | 14.0 | e3       | a b      | waiting |
    Then entry 1 admits "a b" at 14.0 s

  Scenario: Crashes by one segment are no evidence against the others there
    # Guards against refusing sound prompts that an endpoint took along.
    Given two entries that each got 50 other prompts
    When these crashes are seen
      | entry | at_s | endpoint | segments | stage   |
      | 1     | 10.0 | e1       | p q, a b | waiting |
      | 1     | 12.0 | e2       | p r, a c | waiting |
      | 1     | 14.0 | e3       | p s, a d | waiting |
      | 2     | 16.0 | e4       | p t      | waiting |
    And the entries exchange reports at 16.1 s
    Then entry 1 blocks "p" at 16.1 s
    And entry 1 admits "a" at 16.1 s

  Scenario: An endpoint that starts again under its id crashes again
    # Guards against counting all crashes of an endpoint with one id as one.
    Given two entries
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 10.0 | e1       | a b      |
      | 1     | 15.0 | e1       | a b      |
    Then entry 1 blocks "a b" at 15.0 s

  Scenario: One entry of all sends the trial after a block
    # Guards against as many trials as there are entries.
    Given two entries of which entry 1 takes the turns
    When these crashes are seen
      | entry | at_s | endpoint | segments |
      | 1     | 10.0 | e1       | a        |
      | 1     | 12.0 | e2       | a        |
    And the entries exchange reports at 12.1 s
    Then entry 2 blocks "a" at 72.2 s
    And entry 2 admits "a" from 82.0 s
    And entry 1 admits "a" at 72.2 s
    And entry 1 blocks "a" at 72.3 s

  Scenario: A block lasts while callers repeat what is blocked
    # Guards against a block that ends as its segment gets more common among
    # the prompts that come.
    Given two entries that each got 50 other prompts
    When these crashes are seen
      | entry | at_s | endpoint | segments | stage   |
      | 1     | 10.0 | e1       | a b      | waiting |
      | 1     | 12.0 | e2       | a c      | waiting |
      | 1     | 14.0 | e3       | a d      | waiting |
    And entry 1 gets 200 prompts with "a"
    And these crashes are seen
      | entry | at_s | endpoint | segments | stage |
      | 1     | 15.0 | e4       | z        | begun |
    Then entry 1 blocks "a" at 15.0 s

  Scenario: A prompt is found among many that its endpoints took along
    # Guards against losing the one that crashed a busy endpoint among the
    # prompts that it took along.
    Given two entries that each got 50 other prompts
    And "common" is in 40 of the prompts of entry 1
    When endpoints 1 to 4 crash with 40 waiting prompts with "common" and one with "a"
    Then entry 1 blocks "a" at 20.0 s
    And entry 1 admits "common" at 20.0 s

  Scenario: Evidence that another entry states is bounded
    # Guards against a damaged report that blocks sound prompts.
    Given two entries
    When entry 1 is told of a crash by "a" with evidence of 100000 hundredths
    Then entry 1 admits "a" at 10.0 s
