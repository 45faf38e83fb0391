Feature: Result codes

  Scenario: Every result code has an entry in the code table
    # Guards against a code that "explain" and the documentation lack.
    Then each result code is in the code table

  Scenario: A failure after a send has begun is not reported as "not run"
    # Guards against a refusal that states "not run" for a request that may
    # have reached the endpoint.
    Given a send attempt that is marked as sent
    When the attempt fails
    Then its outcome is unknown

  Scenario: The outcome types reject codes of the other type
    # Guards against a NotRun built from a code that means "unknown".
    Then each code builds either a "not run" or an "unknown" outcome

  Scenario: The documentation of result codes matches the code table
    # Guards against a documented table that differs from the code.
    Then docs/result-codes.md lists exactly the code table
