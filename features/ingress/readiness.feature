Feature: Entries that start

  Scenario: An entry is not ready before it has read its endpoints
    # Guards against an entry that is listed for callers and refuses their
    # requests, as it has read its configuration and not yet its endpoints.
    Given a fleet with 0 entries, 0 model endpoints and 1 plain endpoint
    When an entry starts while the store holds the table of endpoints back for 1.5 s
    Then the first call after the entry is ready gets status 200
