Feature: Result codes

  Scenario: Every result code has an entry in the table
    # Guards against a code that "explain" and the docs cannot name.
    Then each result code is in the code table

  Scenario: "Not run" cannot be said after a send has begun
    # Guards against a refusal that claims "not run" for sent work.
    Given a send attempt that was marked as sent
    When the attempt fails
    Then its outcome is unknown

  Scenario: The outcome types refuse codes of the other kind
    # Guards against a NotRun built from a code that means "unknown".
    Then no code builds both a "not run" and an "unknown" outcome

  Scenario: The page of result codes matches the code table
    # Guards against a docs table that has drifted from the code.
    Then docs/result-codes.md lists exactly the code table
