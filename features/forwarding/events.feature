Feature: Whole events of a stream

  Scenario: Any cut of the bytes gives the same events
    # Guards against events that are lost or doubled between reads.
    Then generated cuts of a stream of 12 events give 12 whole events

  Scenario: An event that a crash cut is not passed on
    # Guards against half an event that a second run would complete.
    Given a splitter after event 0
    When it reads the bytes "id: 1|data: a||id: 2|da"
    Then it passed on the events "1"
    When the run is lost and it reads "id: 2|data: b||id: 3|data: c||"
    Then it passed on the events "1, 2, 3"

  Scenario: Events that the caller has are not repeated
    # Guards against an event that comes twice after a resume.
    Given a splitter after event 2
    When it reads the bytes "id: 2|data: b||id: 3|data: c||"
    Then it passed on the events "3"

  Scenario: A missing event damages the stream
    # Guards against an answer with a hole.
    Given a splitter after event 1
    Then the bytes "id: 3|data: c||" damage the stream

  Scenario: An event without a number damages the stream
    # Guards against bytes of another answer.
    Given a splitter after event 1
    Then the bytes "data: c||" damage the stream
