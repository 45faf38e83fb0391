Feature: Hosts and targets of requests

  Scenario Outline: A host is found whatever the case of its letters
    # Guards against 404 for a name that HTTP compares without regard to case.
    When a caller asks host "<host>" for "/p/x"
    Then the caller of the target gets status <status>

    Examples:
      | host           | status |
      | h.example      | 200    |
      | H.Example      | 200    |
      | H.EXAMPLE:8080 | 200    |
      | g.example      | 404    |

  Scenario: A host that is configured with upper-case letters is found
    # Guards against a route that no request reaches.
    When a route of host "H.Example" is called at host "h.example"
    Then the caller of the target gets status 200
