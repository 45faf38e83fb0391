Feature: Parts, head and differences

  Scenario: Parts make up the text again
    # Guards against an entry that installs another text than was checked.
    Then splitting and joining gives any text back
    And a text has equal parts in whatever order its keys were written

  Scenario: One changed service changes one part
    # Guards against sending the whole text for a small change.
    Then changing one service of any text changes only its own part

  Scenario: A part that is damaged is refused
    Given the parts of the example text
    Then each part is refused if any of its bytes is changed
    And each part is refused under the name of another

  Scenario: A head row survives its encoding
    Then any head is decoded as it was encoded
    And arbitrary bytes are either a head or refused as malformed

  Scenario: The start of a move is kept while its version is unchanged
    # Guards against a later apply that starts a running move anew.
    Given the example text accepted at 1000
    When the text key "services.summaries.versions.v1.retire" becomes true at 2000
    Then the move to "summaries/v2" started at 1000

  Scenario: Another replica does not start a move anew
    Given the example text accepted at 1000
    When the text key "services.summaries.versions.v1.endpoints.0.address" becomes "127.0.0.1:9" at 2000
    Then the move to "summaries/v1" started at 1000

  Scenario: An edited deadline asks for the move again
    Given the example text accepted at 1000
    When the text key "services.summaries.versions.v2.done_by" becomes "2098-01-01T00:00:00Z" at 2000
    Then the move to "summaries/v2" started at 2000
    And the head remembers 2 nonces

  Scenario: A new move whose time has passed is found
    # Guards against a move that is taken back the moment it starts.
    Given the example text accepted at 1000
    When the text key "services.summaries.versions.v2.done_by" becomes "1970-01-01T00:00:10Z" at 2000
    Then the late moves are "services.summaries.versions.v2.done_by"

  Scenario: A move that goes on may be applied again after its time
    Given the example text accepted at 1000
    When the text key "client_accounts.portal.priority" becomes 7 at 9000000000
    Then the late moves are ""

  Scenario: Changes are told in sentences
    Given the example text accepted at 1000
    When the text key "services.summaries.versions.v1.retire" becomes true at 2000
    And the text key "services.summaries.versions.v2.weights" becomes "sum-v3" at 3000
    And the text key "client_accounts.portal" becomes null at 4000
    Then the text changes are
      | sentence                                                 |
      | Version summaries/v1 is retired.                         |
      | The move to version summaries/v2 is asked for anew.      |
      | Version summaries/v2: weights 'sum-v2' -> 'sum-v3'.      |
      | Client account portal is removed.                        |

  Scenario: A difference is empty only for equal texts
    # Guards against a change that an operator is not shown.
    Then the difference of any two texts is empty if and only if they are equal
