Feature: Completion requests

  Scenario: Random bodies give a request or a refusal with a code
    # Guards against an uncaught exception and against unbounded fields.
    Then random bodies give a request within its limits or a "not run" code

  Scenario: All invalid fields are reported at once
    # Guards against validation that stops at the first error.
    When the completion body '{"prompt": 1, "max_tokens": 0, "colour": 2}' is parsed
    Then the refusal names "model, prompt, max_tokens, colour"

  Scenario: A body above the size limit is refused before it is parsed
    # Guards against memory that is spent on a malicious body.
    When a completion body above the size limit is parsed
    Then the completion refusal has code 4011

  Scenario: More resumed tokens than max_tokens are refused
    # Guards against an order whose prefix exceeds its token limit.
    When the completion body '{"model": "m", "prompt": "p", "max_tokens": 1, "resume_token_ids": [1, 2]}' is parsed
    Then the completion refusal has code 4000

  Scenario: Events of an answer are well-formed server-sent events
    # Guards against text that ends its event and forges another one.
    Then random texts survive formatting and parsing of events
