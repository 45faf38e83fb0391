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

  Scenario: A short prompt does not make long ones seem too late
    # Guards against an entry that refuses all long prompts after its first
    # short one, whose time is not spent on its tokens.
    Given only a stream of 16 tokens that took 100 ms to its first event
    Then a prompt of 8000 tokens with 5000 ms left can complete
    And each token of a prompt of 8000 counts as 0.013 ms

  Scenario: Short prompts do not change the estimate of long ones
    # Guards against refusals of long prompts that begin after some short ones,
    # and against short ones that hide how long the others take.
    Given an estimate of 0.13 ms a prompt token and 30 ms an event
    When 100 streams of 16 tokens take 100 ms to their first event
    Then a prompt of 8000 tokens with 5000 ms left can complete
    And a prompt of 8000 tokens with 3000 ms left cannot complete
    And a stream of 8000 tokens is expected to take 5.2 s
    And each token of a prompt of 16 counts as 0.13 ms

  Scenario: A fast stream lowers what it contradicts
    # Guards against a long prompt that seems too late, as a shorter one took
    # as long in trouble.
    Given only a stream of 16 tokens that took 4000 ms to its first event
    When 1 streams of 8000 tokens take 1000 ms to their first event
    Then a prompt of 8000 tokens with 4500 ms left can complete

  Scenario: A wrong estimate is checked by one stream at a time
    # Guards against an estimate, here from another entry, that refuses each
    # stream that would correct it.
    Given an estimate of another entry of 5 ms a prompt token
    Then a prompt of 8000 tokens with 25000 ms left cannot complete
    And of 5 prompts of 8000 tokens that seem too late 1 is sent
    When 9.5 s go by
    Then of 5 prompts of 8000 tokens that seem too late 0 are sent
    When 1 s go by
    Then of 5 prompts of 8000 tokens that seem too late 1 is sent
    When 1 streams of 8000 tokens take 1000 ms to their first event
    Then a prompt of 8000 tokens with 5000 ms left can complete

  Scenario: An estimate that is confirmed is not checked
    # Guards against prompts that are read in vain where streams of their size
    # complete all the time.
    Given an estimate of 0.13 ms a prompt token and 30 ms an event
    When 1 streams of 5000 tokens take 700 ms to their first event
    Then of 5 prompts of 8000 tokens that seem too late 0 are sent
    When 11 s go by
    And 1 streams of 16 tokens take 100 ms to their first event
    And 1 streams of 8000 tokens and an output of 100 take 1000 ms to their first event
    Then of 5 prompts of 8000 tokens that seem too late 1 is sent
