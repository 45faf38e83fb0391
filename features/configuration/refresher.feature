Feature: Fetching and installing a configuration

  Background:
    Given a refresher with a platform and peers in memory

  Scenario: The accepted text is installed
    Given the example text is accepted
    When the refresher polls and installs
    Then revision 1 was installed
    And the service "summaries" has the versions "v1, v2" in order
    And no client account has the key ""

  Scenario: Only changed parts are fetched and parsed
    # Guards against an update whose cost grows with the size of the text
    # instead of the size of the change.
    Given the example text is accepted
    And the refresher polls and installs
    And the example text is accepted with "client_accounts.portal.priority" set to 7
    When the refresher polls and installs
    Then revision 2 was installed
    And the last request to the peers named 1 part
    And every service is the same object as before

  Scenario: Parts that peers hold are not read from the store
    Given the example text is accepted
    And the peers hold all parts
    When the refresher polls and installs
    Then revision 1 was installed
    And 0 parts were read from the object store

  Scenario: Parts from peers that do not match their hash are discarded
    # Guards against installing parts that were damaged at a peer.
    Given the example text is accepted
    And the peers hold damaged parts
    When the refresher polls and installs
    Then revision 1 was installed
    And 3 parts were read from the object store

  Scenario: A head announced by a peer is installed during a store outage
    Given the example text is accepted
    And the peers hold all parts
    And the store of the refresher is down
    When a peer announces the accepted head to the refresher
    Then revision 1 was installed

  Scenario: A text with a missing part is installed once the part is found
    # Guards against admitting work without a complete configuration.
    Given the example text is accepted
    And an object is missing from the store
    When the refresher polls and installs
    Then nothing was installed
    And the refresher may not admit work
    Given the peers hold all parts
    When the refresher installs again
    Then revision 1 was installed
    And the refresher may admit work

  Scenario: A newer text replaces one that cannot be fetched
    # Guards against waiting indefinitely for parts that are stored nowhere.
    Given the example text is accepted
    And an object is missing from the store
    And the refresher polls and installs
    And the example text is accepted with "client_accounts.portal.priority" set to 7
    When the refresher polls and installs
    Then revision 2 was installed

  Scenario: A damaged head row leaves the installed revision in force
    Given the example text is accepted
    And the refresher polls and installs
    And the head row is damaged
    When the refresher polls and installs
    Then revision 1 was installed

  Scenario: Installed parts are available to peers
    Given the example text is accepted
    When the refresher polls and installs
    Then the refresher returns each part of the accepted head

  Scenario: The running refresher installs announced and polled heads
    Given the example text is accepted
    Then the running refresher installs revision 1 by polling and revision 2 by announcement

  Scenario: The running refresher does not fetch an unusable text again
    # Guards against fetching parts that cannot be parsed again and again.
    Given the example text is accepted with an unusable part
    Then the running refresher fetches the unusable part once and installs the next revision

  Scenario: The route table agrees with a linear search
    # Guards against a look-up that misses a route or returns another one.
    Then the route table agrees with patterns tried one by one
