Feature: Streams that cannot end in time

  Scenario: A stream that cannot end in time is refused before it is sent
    # Replays callers that come back with a second left after all machines
    # lost power: each prompt would be read for nothing.
    Given a pace of 0.13 ms a token and 30 ms an event
    Then a prompt of 8000 tokens with 1000 ms left cannot end
    And a prompt of 8000 tokens with 5000 ms left can end

  Scenario: A resumed stream needs only the rest
    # Guards against refusing a caller that lacks a few events.
    Given a pace of 0.13 ms a token and 30 ms an event
    Then a stream that was read and lacks 5 events with 1000 ms left can end

  Scenario: Without a known pace nothing is refused
    # Guards against an entry that refuses everything after its start.
    Given no known pace
    Then a prompt of 8000 tokens with 1000 ms left can end

  Scenario: A few slow streams do not refuse the next ones
    # Guards against a pace that one slow endpoint sets.
    Given a pace of 0.13 ms a token and 30 ms an event
    When 5 streams take 10 times as long
    Then a prompt of 8000 tokens with 15000 ms left can end
