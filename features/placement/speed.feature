Feature: Speed estimates detect streams that cannot complete in time

  Scenario: A stream that cannot complete in time is detected
    # All machines lose power, and callers retry with a second left. Their
    # prompts would be processed in vain.
    Given an estimate of 0.13 ms a prompt token and 30 ms an event
    Then a prompt of 8000 tokens with 1000 ms left cannot complete
    And a prompt of 8000 tokens with 5000 ms left can complete

  Scenario: A resumed stream needs time for its remaining events only
    # Guards against refusing a caller that lacks a few events.
    Given an estimate of 0.13 ms a prompt token and 30 ms an event
    Then a processed prompt that lacks 5 events with 1000 ms left can complete

  Scenario: Without an estimate all streams are accepted
    # Guards against an entry that refuses all streams after its start.
    Given no estimate
    Then a prompt of 8000 tokens with 1000 ms left can complete

  Scenario: A few slow streams hardly change the estimate
    # Guards against one slow endpoint determining the estimate.
    Given an estimate of 0.13 ms a prompt token and 30 ms an event
    When 5 streams take 10 times as long
    Then a prompt of 8000 tokens with 15000 ms left can complete

  Scenario: A stream is expected to take as long as at a busy endpoint
    # Guards against streams that are accepted before a planned stop as if
    # their endpoint had nothing else to do, and are cut.
    Given an estimate of 0.13 ms a prompt token and 30 ms an event
    Then a stream of 8000 tokens is expected to take 5.2 s
    And a stream of 8000 tokens after event 100 is expected to take 2.2 s
    And a stream of 0 tokens is expected to take an unknown time
    When 1 streams take 2 times as long
    Then a stream of 8000 tokens is expected to take 10.5 s
    When 100 streams take 1 times as long
    Then a stream of 8000 tokens is expected to take 5.3 s

  Scenario: Without a stream of its own an entry expects no time
    # Guards against streams that a restarted entry accepts before it stops
    # again, without knowing how long they take.
    Given an estimate of another entry only
    Then a stream of 8000 tokens is expected to take an unknown time
