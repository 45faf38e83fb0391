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

  Scenario Outline: A target with scheme and host selects route and path
    # Guards against 404 for a form of target that every server must accept,
    # and against an endpoint that gets it instead of a path.
    When a caller asks host "<host>" for "<target>"
    Then the caller of the target gets status 200
    And the endpoint got the path "<path>" and the host "<named>"

    Examples:
      | host      | target                         | path       | named          |
      | h.example | http://h.example/p/x?y=a/b     | /p/x?y=a/b | h.example      |
      | g.example | http://h.example/p/x           | /p/x       | h.example      |
      | g.example | HTTPS://H.Example:8080/p/x     | /p/x       | h.example:8080 |
      | h.example | /p/x?y=http://g.example/p/z    | /p/x?y=http://g.example/p/z | h.example |

  Scenario Outline: A target whose host or path has no route gets 404
    # Guards against a route that is selected by the Host header, which such
    # a target overrides.
    When a caller asks host "h.example" for "<target>"
    Then the caller of the target gets status 404

    Examples:
      | target                     |
      | http://g.example/p/x       |
      | http://user@h.example/p/x  |
      | http://h.example           |
      | http://h.example?/p/x      |
      | ftp://h.example/p/x        |
