Feature: Connection checks of streams at silent endpoints

  # Virtual time. A connection to a silent endpoint gets no answer. The allowed
  # pause is 0.7 s, and the service states its pace.

  Scenario: An endpoint that was slow falls silent
    # Guards against a first check that counts after a later one failed: the
    # stream stayed for 1.05 s.
    When an endpoint falls silent 0.5 s after an event
    Then the stream leaves it 0.9 s after the event at the latest

  Scenario: An event arrives during a check
    # Guards against events that wait for the end of a check, 0.1 s.
    When an event arrives after 0.36 s, in a check without answer
    Then the stream has it within 0.37 s

  Scenario Outline: Endpoints restart at the same address
    # Guards against streams whose prompt is lost and that stay as the new
    # endpoint accepts connections: without a listing that counts, until their
    # deadline.
    When endpoints restart 1.2 s after they fell silent and are listed <listed> s later, <rows> their rows removed
    Then streams leave them within <limit> s, and 0.06 s after the listing at the latest

    Examples:
      | listed | rows    | limit |
      | 0.3    | without | 1.1   |
      | 0.6    | without | 1.35  |
      | 0.6    | with    | 1.35  |
