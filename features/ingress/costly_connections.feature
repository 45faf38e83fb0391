Feature: Connections that cost more than they bring

  Scenario Outline: Endpoints that flood do not delay calls to other services
    # Guards against faulty endpoints that get a turn each, so that together
    # they take the processor from the calls to other services.
    Given an entry with a sound service and 34 endpoints that send "<flood>"
    When 34 callers call these endpoints and 4 call the sound service for 8 s
    Then each call to the sound service was answered within 500 ms

    Examples:
      | flood               |
      | chunks of one byte  |
      | heads of many lines |

  Scenario: Callers whose bodies flood do not delay other callers
    # Guards against bodies that cost far more to parse than they bring.
    Given an entry with a sound service
    When 34 callers send it chunks of one byte and 4 call the sound service for 8 s
    Then each call to the sound service was answered within 500 ms
    And each body without end was refused with 400 or 408
