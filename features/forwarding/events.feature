Feature: Complete events of a stream

  Scenario: Any split of the bytes gives the same events
    # Events must not be lost or duplicated between reads.
    Then generated splits of a stream of 12 events give 12 complete events

  Scenario: An event that a crash truncated is not forwarded
    # A second attempt must not complete an event of the first one.
    Given a splitter after event 0
    When it reads the bytes "id: 1|data: a||id: 2|da"
    Then it returned the events "1"
    When the attempt is lost and it reads "id: 2|data: b||id: 3|data: c||"
    Then it returned the events "1, 2, 3"

  Scenario: Events that the caller already has are not repeated
    # After a resume, an endpoint may send an event that was already sent.
    Given a splitter after event 2
    When it reads the bytes "id: 2|data: b||id: 3|data: c||"
    Then it returned the events "3"

  Scenario Outline: Events before damage are returned
    # Guards against an answer that lacks events and looks complete: the next
    # attempt resumes after the last event that was accepted.
    Given a splitter after event 0
    When it reads the bytes "id: 1|data: a||id: 2|data: b||" and then <damage>
    Then it returned the events "1, 2"
    And the stream is damaged: <reason>
    When the attempt is lost and it reads "id: 3|data: c||"
    Then it returned the events "1, 2, 3"

    Examples:
      | damage                     | reason                              |
      | an event without an id     | event without id                    |
      | event 4                    | event 4 after 2                     |
      | 1100 comments              | too many bytes without a new event  |
      | an event of over 1 MB      | event too large                     |

  Scenario: A missing event damages the stream
    # The caller must not get an answer with a gap.
    Given a splitter after event 1
    Then the bytes "id: 3|data: c||" damage the stream

  Scenario: An event without a number damages the stream
    # The bytes may belong to another answer.
    Given a splitter after event 1
    Then the bytes "data: c||" damage the stream
