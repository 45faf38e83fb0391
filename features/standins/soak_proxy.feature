Feature: The proxy of the soak test

  Scenario Outline: A stopped proxy ends its connections
    # Guards against connections that nobody answers, and whose errors after
    # the end of the event loop hide the violations of a run.
    When a proxy with <state> connection stops
    Then the caller and the process behind it see the connection end

    Examples:
      | state  |
      | a used |
      | a new  |
