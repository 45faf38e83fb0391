Feature: Network of peers

  Scenario: A broadcast reaches each instance once
    # Guards against lost and repeated facts.
    Given 9 connected peer nodes
    When one of them broadcasts a head
    Then each other node hears it exactly once

  Scenario: Draining spreads at once
    # Guards against a draining entry that is still named to callers.
    Given 9 connected peer nodes
    When one of them announces that it is leaving
    Then all nodes hold it as leaving within 1 s

  Scenario: A request reaches the instance it names and is answered
    # Guards against forwarded calls lost between instances.
    Given 9 connected peer nodes
    When a node sends a forwarded call to another
    Then it gets the other node's answer

  Scenario: A request to a node that dies fails at once
    # Guards against a caller that waits for a dead owner.
    Given 3 connected peer nodes
    When a node waits for an answer and the other node closes
    Then the request fails as unreachable within 1 s

  Scenario: A peer with another key is refused
    # Guards against messages from a stranger.
    Given 2 connected peer nodes
    When a node with another key tries to join
    Then no node is connected with it and a rejection is counted

  Scenario: Garbage closes a connection and harms nothing else
    # Guards against a stranger who stops a node.
    Given 2 connected peer nodes
    When strangers send garbage and silence to a node
    Then each stranger's connection is closed within 4 s
    When one of them broadcasts a head
    Then each other node hears it exactly once

  Scenario: A frozen peer is detected and joins again
    # Guards against links that stay open to a process that is stopped.
    Given a peer process and 2 connected peer nodes
    When the peer process is frozen
    Then no node is connected with the peer process within 6 s
    When the peer process is thawed
    Then each node is connected with the peer process within 15 s

  Scenario: A silent connection is replaced by a new one
    # Guards against a connection that is open and carries nothing.
    Given two peer nodes connected through a proxy
    When the proxy goes silent on the open connection
    Then the nodes connect anew within 8 s
    And a broadcast passes between the two nodes

  Scenario: The age of a delayed message includes its delay
    # Guards against freshness that a stalled connection kept too young.
    Given two peer nodes connected through a proxy
    When the proxy delays a freshness message by 1.5 s
    Then the message arrives with an age of at least 1.5 s

  Scenario: A message that is not delayed stays young
    # Guards against ages so large that no entry would count as fresh.
    Given two peer nodes connected through a proxy
    When the proxy delays a freshness message by 0 s
    Then the message arrives with an age below 1.5 s

  Scenario: Without echoed stamps the age of a delayed message is wrong
    # Shows that the scenario above detects an age without its delay.
    Given two peer nodes without echoed stamps connected through a proxy
    When the proxy delays a freshness message by 1.5 s
    Then the message arrives with an age below 0.5 s

  Scenario: A replacement takes the place of its predecessor
    # Guards against a link to a process that was replaced.
    Given 3 connected peer nodes
    When one node dies and a replacement with its name starts
    Then the others hold the newer incarnation and are connected with it

  Scenario: A resumed predecessor learns that it was replaced
    # Guards against an old incarnation that is taken for the new one.
    Given 3 connected peer nodes
    When a replacement of one node starts while the old one goes on
    Then the old one is superseded and the others hold the newer one

  Scenario: Periodic reports arrive once and over few links
    # Guards against a cost of reports that grows with the links.
    Given 9 connected peer nodes
    When each node sends 12 reports
    Then each node has heard each report exactly once
    And the last 4 reports of each node brought few duplicates

  Scenario: Periodic reports go on when a node dies
    # Guards against nodes cut off because their path was through it.
    Given 9 connected peer nodes
    When each node sends 4 reports
    And one node dies
    And each node sends 17 reports
    Then each node has heard one of the last 16 reports of each other node
