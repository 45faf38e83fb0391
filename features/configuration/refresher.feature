Feature: Fetching and installing a configuration

  Background:
    Given a refresher with a platform and peers in memory

  Scenario: The accepted text is installed
    Given the example text is accepted
    When the refresher polls and installs
    Then revision 1 was installed
    And the service "summaries" has the versions "v1, v2" in order
    And the key of no client account is known as ""

  Scenario: Only changed parts are fetched and parsed
    # Guards against work that grows with the text instead of the change.
    Given the example text is accepted
    And the refresher polls and installs
    And the example text is accepted with "client_accounts.portal.priority" set to 7
    When the refresher polls and installs
    Then revision 2 was installed
    And 1 part was asked of the peers last
    And every service is the same object as before

  Scenario: Parts that peers hold are not read from the store
    Given the example text is accepted
    And the peers hold all parts
    When the refresher polls and installs
    Then revision 1 was installed
    And 0 parts were read from the object store

  Scenario: A peer that gives wrong bytes is not believed
    Given the example text is accepted
    And the peers hold damaged parts
    When the refresher polls and installs
    Then revision 1 was installed
    And 3 parts were read from the object store

  Scenario: A head from a peer is installed during an outage
    Given the example text is accepted
    And the peers hold all parts
    And the store of the refresher is down
    When a peer announces the accepted head to the refresher
    Then revision 1 was installed

  Scenario: A text whose parts cannot be fetched waits
    Given the example text is accepted
    And an object of the store is lost
    When the refresher polls and installs
    Then nothing was installed
    And the refresher may not admit work
    Given the peers hold all parts
    When the refresher installs again
    Then revision 1 was installed
    And the refresher may admit work

  Scenario: A newer text replaces one that cannot be fetched
    # Guards against waiting for ever for parts that nobody has.
    Given the example text is accepted
    And an object of the store is lost
    And the refresher polls and installs
    And the example text is accepted with "client_accounts.portal.priority" set to 7
    When the refresher polls and installs
    Then revision 2 was installed

  Scenario: A damaged head row changes nothing
    Given the example text is accepted
    And the refresher polls and installs
    And the head row is damaged
    When the refresher polls and installs
    Then revision 1 was installed

  Scenario: Installed parts are given to peers
    Given the example text is accepted
    When the refresher polls and installs
    Then the refresher gives each part of the accepted head

  Scenario: The running refresher installs what is announced and polled
    Given the example text is accepted
    Then the running refresher installs revision 1 by polling and revision 2 by announcement

  Scenario: The running refresher does not fetch an unusable text again
    # Guards against endless fetching of parts that cannot be parsed.
    Given the example text is accepted with an unusable part
    Then the running refresher fetches the unusable part once and installs the next revision

  Scenario: Routes are found as by trying each in turn
    Then the route table agrees with patterns tried one by one
