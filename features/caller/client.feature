Feature: Reference caller

  Scenario: A whole answer is checked and returned
    Given a system of 2 entry doubles
    When the caller completes 20 tokens
    Then the caller has the whole answer after 0 reconnects

  Scenario Outline: An interrupted answer is continued at another entry
    # Guards against answers that are lost or begun anew with their entry.
    Given a system of 2 entry doubles
    And the first entry that is asked <fault>
    When the caller completes 20 tokens
    Then the caller has the whole answer after 1 reconnects
    And the second request held the resume id and the tokens

    Examples:
      | fault                |
      | closes               |
      | goes silent          |
      | sends an error event |
      | forgets the end mark |

  Scenario Outline: A broken answer is an error and never an answer
    # Guards against a caller that accepts missing or repeated tokens.
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

  Scenario: A refusal of one entry is tried at another
    Given a system of 2 entry doubles
    And the first entry that is asked answers code 2000
    When the caller completes 20 tokens
    Then the caller has the whole answer after 1 reconnects

  Scenario: A rate limit is not hammered
    # Guards against a caller that multiplies its own overload.
    Given a system of 2 entry doubles
    And the first entry that is asked answers code 2003
    When the caller completes 20 tokens
    Then the call fails with Refused
    And 1 completion requests were sent

  Scenario: An answer that cannot be continued is told as partial
    # Guards against a part that is taken for the whole.
    Given a system of 2 entry doubles
    And the first entry that is asked says the version is gone
    When the caller completes 20 tokens
    Then the call fails with PartialAnswer
    And the error holds the tokens that came and their resume id

  Scenario: Reconnects without progress are bounded
    # Guards against a caller that retries for ever.
    Given a system of 2 entry doubles
    And every entry always answers code 2001
    When the caller completes 20 tokens
    Then the call fails with NoAddress
    And 7 completion requests were sent

  Scenario: Addresses are kept until their deadline
    # Guards against one address request for each call.
    Given a system of 2 entry doubles
    When the caller completes 4 tokens 3 times
    Then the addresses were asked for 1 times

  Scenario: Old addresses are asked for again after their deadline
    # Guards against calls to entries that left long ago.
    Given a system of 2 entry doubles whose addresses hold for 0 s
    When the caller completes 4 tokens 3 times
    Then the addresses were asked for 3 times

  Scenario: A dead known address is passed over
    Given a system of 2 entry doubles
    And the caller also knows an address where nothing listens
    When the caller completes 20 tokens
    Then the caller has the whole answer after 0 reconnects

  Scenario: A wrong credential is refused at once
    Given a system of 2 entry doubles
    When a caller with another credential completes 4 tokens
    Then the call fails with Refused

  Scenario: The near failure domain is called first
    # Guards against needless traffic between failure domains.
    Given a system of 4 entry doubles
    When the caller in the failure domain of entry 3 completes 4 tokens
    Then entry 3 took the completion

  Scenario: A caller that stops reading leaves no connection
    # Guards against leaked tasks in the caller's process.
    Given a system of 2 entry doubles
    When the caller stops reading after 2 parts of 20 tokens
    Then the caller left no task behind

  Scenario: Random event data is an answer or a typed error
    # Guards against an uncaught exception on a hostile stream.
    Then random event data gives chunks or CorruptAnswer
