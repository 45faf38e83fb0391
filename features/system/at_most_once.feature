Feature: Calls that may not be repeated, with real processes

  Scenario: The service loses its answer
    # Guards against a second run when the first one's answer was lost.
    Given a small site with 1 engines
    And an issued key
    When the portal loses its answers
    And a complaint is filed with the key
    And the portal answers again
    And the complaint is repeated at every entry instance
    Then every answer says that the outcome is unknown
    And the complaint ran 1 times

  Scenario: The first outcome is returned again, at any entry instance
    # Guards against a repeat that runs or that gets another answer.
    Given a small site with 1 engines
    And an issued key
    When a complaint is filed with the key
    And the complaint is repeated at every entry instance
    Then every answer is the first one
    And the complaint ran 1 times

  Scenario: A key that the caller chose runs once over all entry instances
    # Guards against two entries that both send.
    Given a small site with 1 engines
    And the key "complaint-2026-0017"
    When the complaint is sent to every entry instance at once
    Then every answer is the first one
    And the complaint ran 1 times

  Scenario: The answer to the claim is lost after it took effect
    # Guards against a claim that nobody uses, and against a second run.
    Given a small site with 1 engines
    And the key "complaint-2026-0018"
    When the platform loses the answers to writes
    And a complaint is filed with the key
    And the complaint is repeated at every entry instance
    Then the complaint ran 1 times

  Scenario: The owner of the key dies while the call runs
    # Guards against a second run by another entry.
    Given a small site with 1 engines
    And an issued key
    When the portal takes 3000 ms for an answer
    And the complaint is sent to the owner, who is killed once it runs
    And the complaint is repeated at every entry instance
    Then every answer says that the outcome is unknown
    And the complaint ran 1 times

  Scenario: The owner of the key is paused while the call runs
    # Guards against another entry that takes over from a paused owner.
    Given a small site with 1 engines
    And an issued key
    When the portal takes 500 ms for an answer
    And the complaint is sent to the owner, who is paused once it runs
    And the complaint is repeated at every other entry instance
    And the owner goes on
    And the complaint is repeated at every entry instance
    Then the complaint ran 1 times

  Scenario: The store is down
    # Guards against refusing what needs no store, or sending unclaimed.
    Given a small site with 1 engines
    And an issued key
    And the platform is down
    When a complaint is filed with the key
    And the complaint is repeated at every entry instance
    Then every answer is the first one
    And the complaint ran 1 times
    And a complaint with a key of the caller's choice is refused as not run

  Scenario: A key is reused with another body
    # Guards against a second complaint under the first one's key.
    Given a small site with 1 engines
    And an issued key
    When a complaint is filed with the key
    Then another complaint with the same key is refused with code 4006
    And the complaint ran 1 times

  Scenario: No portal replica accepts connections
    # Guards against "not run" being said of work that ran, and the reverse.
    Given a small site with 1 engines
    And an issued key
    When every portal replica gets SIGKILL
    And a complaint is filed with the key
    Then the answer says that it was not run
    And the complaint can be filed with the same key once the portal is back
