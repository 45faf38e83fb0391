Feature: Reference caller

  Scenario: A complete answer is verified and returned
    Given a system of 2 entry doubles
    When the caller completes 20 tokens
    Then the caller has the complete answer after 0 reconnects

  Scenario Outline: An interrupted answer is continued at another entry
    # Guards against answers that fail or restart from the first token when
    # the entry fails or its connection is interrupted.
    Given a system of 2 entry doubles
    And the first entry that is asked <fault>
    When the caller completes 20 tokens
    Then the caller has the complete answer after 1 reconnects
    And the second request has the resume id and the tokens

    Examples:
      | fault                |
      | closes               |
      | stops sending        |
      | sends an error event |
      | omits the end mark   |

  Scenario Outline: A corrupt answer is reported as an error
    # Guards against a caller that accepts missing, repeated or changed tokens
    # when an entry is faulty.
    Given a system of 2 entry doubles
    And the first entry that is asked <fault>
    When the caller completes 20 tokens
    Then the call fails with CorruptAnswer

    Examples:
      | fault               |
      | skips tokens        |
      | repeats tokens      |
      | changes a token     |
      | sends half an event |
      | miscounts           |

  Scenario: A request rejected by one entry is sent to another
    Given a system of 2 entry doubles
    And the first entry that is asked answers code 2000
    When the caller completes 20 tokens
    Then the caller has the complete answer after 1 reconnects

  Scenario: A request over the rate limit is not retried
    # Guards against a caller that adds to an overload by retries.
    Given a system of 2 entry doubles
    And the first entry that is asked answers code 2003
    When the caller completes 20 tokens
    Then the call fails with Refused
    And 1 completion requests were sent

  Scenario: An answer that cannot be continued is reported as partial
    # Guards against an incomplete answer that is taken for a complete one.
    Given a system of 2 entry doubles
    And the first entry that is asked says the version is gone
    When the caller completes 20 tokens
    Then the call fails with PartialAnswer
    And the error has the received tokens and their resume id

  Scenario: Reconnects without progress are bounded
    # Guards against endless retries while no entry serves the request.
    Given a system of 2 entry doubles
    And every entry always answers code 2001
    When the caller completes 20 tokens
    Then the call fails with NoAddress
    And 7 completion requests were sent

  Scenario: Addresses are cached until they expire
    # Guards against an address request before every call.
    Given a system of 2 entry doubles
    When the caller completes 4 tokens 3 times
    Then the addresses were requested 1 times

  Scenario: Expired addresses are requested again
    # Guards against calls to entries that have been removed.
    Given a system of 2 entry doubles whose addresses are valid for 0 s
    When the caller completes 4 tokens 3 times
    Then the addresses were requested 3 times

  Scenario: An unreachable initial address is skipped
    Given a system of 2 entry doubles
    And the initial addresses include one without a listener
    When the caller completes 20 tokens
    Then the caller has the complete answer after 0 reconnects

  Scenario: A wrong credential is rejected without retries
    Given a system of 2 entry doubles
    When a caller with another credential completes 4 tokens
    Then the call fails with Refused

  Scenario: Entries in the same failure domain are called first
    # Guards against unnecessary traffic between failure domains.
    Given a system of 4 entry doubles
    When the caller in the failure domain of entry 3 completes 4 tokens
    Then entry 3 received the completion

  Scenario: A caller that stops reading leaves no tasks or connections
    # Guards against leaked tasks when a stream is closed before its end.
    Given a system of 2 entry doubles
    When the caller stops reading after 2 parts of 20 tokens
    Then the caller left no task behind

  Scenario: Random event data gives an answer or CorruptAnswer
    # Guards against an uncaught exception when an entry sends invalid data.
    Then random event data gives chunks or CorruptAnswer
