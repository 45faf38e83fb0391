Feature: Requests whose configuration changes on the way

  Scenario Outline: A request is answered although its configuration is gone
    # Guards against requests without an answer whose route, service or
    # account is not in the configuration that is installed while they are
    # read, wait for their turn, are sent again or go on elsewhere.
    Given stream endpoints that play "<first>" and "<second>"
    And the condition "none" at the caller port
    When a <kind> request is sent and a configuration without its <part> is installed while it <state>
    Then its answer is complete
    And it has status 200
    And no reason is counted

    Examples:
      | kind       | state              | part    | first                      | second                     |
      | once       | is read            | route   | head 1 end                 | head 1 end                 |
      | once       | is read            | service | head 1 end                 | head 1 end                 |
      | once       | is read            | account | head 1 end                 | head 1 end                 |
      | stream     | is read            | route   | head 1 end                 | head 1 end                 |
      | once       | waits for its turn | route   | pause declined, head 1 end | pause declined, head 1 end |
      | once       | waits for its turn | service | pause declined, head 1 end | pause declined, head 1 end |
      | once       | waits for its turn | account | pause declined, head 1 end | pause declined, head 1 end |
      | repeatable | is sent again      | route   | pause crash                | head 1 end                 |
      | repeatable | is sent again      | service | pause crash                | head 1 end                 |
      | repeatable | is sent again      | account | pause crash                | head 1 end                 |
      | stream     | goes on elsewhere  | route   | head 1 pause crash         | head 2 end                 |
      | stream     | goes on elsewhere  | service | head 1 pause crash         | head 2 end                 |
      | stream     | goes on elsewhere  | account | head 1 pause crash         | head 2 end                 |

  Scenario Outline: A request is refused if the endpoints of its service are gone
    # Guards against requests that end without an answer as their service is
    # taken away while they are read or wait.
    Given stream endpoints that play "<first>" and "<first>"
    And the condition "none" at the caller port
    When a <kind> request is sent and the endpoints of its service are removed while it <state>
    Then it is answered with status 503

    Examples:
      | kind       | state              | first          |
      | once       | is read            | head 1 end     |
      | stream     | is read            | head 1 end     |
      | once       | waits for its turn | pause declined |
      | repeatable | waits for its turn | pause declined |
      | stream     | waits for its turn | pause declined |

  Scenario: A stream that has begun waits for an endpoint
    # Guards against cutting an answer that is half delivered because no
    # endpoint of its service is listed for a moment.
    Given stream endpoints that play "head 1 pause crash" and "head 2 3 end"
    And endpoint 2 is listed again 500 ms after all endpoints were removed
    When a stream is made
    Then its caller gets the events 1 to 3 and the end
    And it took at most 1300 ms
