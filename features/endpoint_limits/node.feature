Feature: Permits asked for over datagrams

  Scenario: A question is answered
    # Guards against permits that are never granted between entries.
    Given two permit sockets, of which the second grants everything
    When the first asks the second for a permit
    Then it is granted within 40 ms

  Scenario: A lost question is repeated
    # Guards against an entry that uses nothing of a limit for a while
    # because of one lost datagram.
    Given two permit sockets, of which the second grants everything
    When the first asks the second for a permit and the question is lost once
    Then it is granted within 90 ms

  Scenario: A question that is not answered ends soon
    # Guards against requests that wait for an entry that is gone.
    Given two permit sockets, of which the second answers nothing
    When the first asks the second for a permit
    Then there is no answer and it took at most 150 ms

  Scenario: A late answer is not used for a later question
    # Guards against a permit for another endpoint, or from a time before a
    # freeze.
    When the first asks twice for a permit and gets the first answer late
    Then the first question has no answer and the second one is denied

  Scenario: Invalid datagrams are dropped
    # Guards against an entry that ends because of a foreign datagram.
    Given two permit sockets, of which the second grants everything
    When each of them gets invalid datagrams
    And the first asks the second for a permit
    Then it is granted within 40 ms
