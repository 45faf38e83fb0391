Feature: Calls that run at most once, with real processes

  Scenario: The answer of the service is lost
    # Guards against a second run after a first one whose answer was lost.
    Given a small site with 1 engines
    And an issued key
    When the portal loses its answers
    And a complaint is filed with the key
    And the portal answers again
    And the complaint is repeated at every entry instance
    Then every answer says that the outcome is unknown
    And the complaint ran 1 times

  Scenario: The first outcome is returned again, at any entry instance
    # Guards against a repeated call that runs again or gets another answer.
    Given a small site with 1 engines
    And an issued key
    When a complaint is filed with the key
    And the complaint is repeated at every entry instance
    Then every answer equals the first one
    And the complaint ran 1 times

  Scenario: A key that the caller chose runs once over all entry instances
    # Guards against two entries that both send the call.
    Given a small site with 1 engines
    And the key "complaint-2026-0017"
    When the complaint is sent to every entry instance at once
    Then every answer equals the first one
    And the complaint ran 1 times

  Scenario: The answer to the claim is lost after it took effect
    # Guards against a stored claim that no entry treats as its own, and
    # against a second run.
    Given a small site with 1 engines
    And the key "complaint-2026-0018"
    When the platform loses the answers to writes
    And a complaint is filed with the key
    And the complaint is repeated at every entry instance
    Then the complaint ran 1 times

  Scenario: The owner of the key is killed while the call runs
    # Guards against another entry that runs the call a second time.
    Given a small site with 1 engines
    And an issued key
    When the portal takes 3000 ms for an answer
    And the complaint is sent to the owner, which is killed once it runs
    And the complaint is repeated at every entry instance
    Then every answer says that the outcome is unknown
    And the complaint ran 1 times

  Scenario: The owner of the key is paused while the call runs
    # Guards against another entry that runs the call while its owner is only
    # paused.
    Given a small site with 1 engines
    And an issued key
    When the portal takes 500 ms for an answer
    And the complaint is sent to the owner, which is paused once it runs
    And the complaint is repeated at every other entry instance
    And the owner is resumed
    And the complaint is repeated at every entry instance
    Then the complaint ran 1 times

  Scenario: The store is down
    # Guards against rejecting calls with issued keys, which need no store,
    # and against sending calls with other keys without a claim.
    Given a small site with 1 engines
    And an issued key
    And the platform is down
    When a complaint is filed with the key
    And the complaint is repeated at every entry instance
    Then every answer equals the first one
    And the complaint ran 1 times
    And a complaint with a key chosen by the caller is rejected as not run

  Scenario: A key is reused with another body
    # Guards against running another complaint with a key already in use, and
    # against answering it with the outcome of the first.
    Given a small site with 1 engines
    And an issued key
    When a complaint is filed with the key
    Then another complaint with the same key is rejected with code 4006
    And the complaint ran 1 times

  Scenario: No portal replica accepts connections
    # Guards against reporting work that ran as not run, and the reverse.
    Given a small site with 1 engines
    And an issued key
    When every portal replica gets SIGKILL
    And a complaint is filed with the key
    Then the answer says that it was not run
    And the complaint can be filed with the same key once the portal is back
