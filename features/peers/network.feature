Feature: Network of peers

  Scenario: A broadcast reaches each instance once
    # Guards against messages that are lost or delivered twice by flooding.
    Given 9 connected peer nodes
    When one of them broadcasts a head
    Then each other node receives it exactly once

  Scenario: Draining is announced at once
    # Guards against an entry that drains while its address is still given
    # to callers.
    Given 9 connected peer nodes
    When one of them announces that it is leaving
    Then all nodes see it as leaving within 1 s

  Scenario: A request reaches the instance it names and is answered
    # Guards against forwarded calls that are lost between instances.
    Given 9 connected peer nodes
    When a node sends a forwarded call to another
    Then it gets the other node's answer

  Scenario: A request to a node that dies fails at once
    # Guards against a caller that waits until its deadline because the owner
    # of its key has died.
    Given 3 connected peer nodes
    When a node waits for an answer and the other node closes
    Then the request fails as unreachable within 1 s

  Scenario: A peer with another key is rejected
    # Guards against messages from a process without the shared key.
    Given 2 connected peer nodes
    When a node with another key tries to join
    Then no node is connected with it and a rejection is counted

  Scenario: Invalid data closes a connection and affects no other one
    # Guards against an unauthenticated client that stops a node by sending
    # malformed data or by keeping connections open.
    Given 2 connected peer nodes
    When unauthenticated clients send invalid data or nothing to a node
    Then each of their connections is closed within 4 s
    When one of them broadcasts a head
    Then each other node receives it exactly once

  Scenario: A frozen peer is detected and joins again
    # Guards against links that stay open to a stopped process, whose kernel
    # keeps the connections established.
    Given a peer process and 2 connected peer nodes
    When the peer process is frozen
    Then no node is connected with the peer process within 6 s
    When the peer process continues
    Then each node is connected with the peer process within 15 s

  Scenario: An unresponsive connection is replaced by a new one
    # Guards against a connection that stays open but delivers no data.
    Given two peer nodes connected through a proxy
    When the proxy pauses the open connection for good
    Then the nodes are connected again within 8 s
    And a broadcast passes between the two nodes

  Scenario: The age of a delayed message includes its delay
    # Guards against configuration that counts as fresh although its message
    # was delayed by a stalled connection.
    Given two peer nodes connected through a proxy
    When the proxy delays a freshness message by 1.5 s
    Then the message arrives with an age of at least 1.5 s

  Scenario: The age of a message without delay is small
    # Guards against an age bound so large that no entry counts as fresh.
    Given two peer nodes connected through a proxy
    When the proxy delays a freshness message by 0 s
    Then the message arrives with an age below 1.5 s

  Scenario: Without echoed timestamps the age of a delayed message is wrong
    # Shows that the scenario of the delayed message detects an age that does
    # not include the delay.
    Given two peer nodes without echoed timestamps connected through a proxy
    When the proxy delays a freshness message by 1.5 s
    Then the message arrives with an age below 0.5 s

  Scenario: A replacement takes the place of its predecessor
    # Guards against links that still lead to a replaced process.
    Given 3 connected peer nodes
    When one node dies and a replacement with its name starts
    Then the others see the newer incarnation and are connected with it

  Scenario: A resumed predecessor detects that it was replaced
    # Guards against an old incarnation that continues after a pause and is
    # taken for its replacement.
    Given 3 connected peer nodes
    When a replacement of one node starts while the old one keeps running
    Then the old one is superseded and the others see the newer one

  Scenario: Periodic reports arrive once and over few links
    # Guards against traffic of reports that grows with the number of links,
    # as it does if every report is flooded.
    Given 9 connected peer nodes
    When each node sends 12 reports
    Then each node has received each report exactly once
    And the last 4 reports of each node caused few duplicates

  Scenario: Periodic reports continue when a node dies
    # Guards against nodes that get no more reports because the dead node was
    # on their path.
    Given 9 connected peer nodes
    When each node sends 4 reports
    And one node dies
    And each node sends 17 reports
    Then each node has received one of the last 16 reports of each other node
