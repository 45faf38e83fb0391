Feature: Fleets of stand-ins that run side by side

  Scenario: Two fleets that draw the same ports
    # Guards against entries that never become ready, because an entry of
    # another suite already listens at their addresses.
    Given two fleets that draw the same ports
    When each starts an entry
    Then both entries are ready and run

  Scenario: The log of an entry that does not become ready
    # Guards against a suite that fails without the reason.
    Given a fleet whose address of callers is in use
    When it starts an entry
    Then the error states the exit code and the end of the log
