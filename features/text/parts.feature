Feature: Parts, head and differences

  Scenario: Splitting and joining preserves the text
    # Guards against an entry that installs another text than was checked.
    Then splitting and joining restores any text
    And the parts of a text do not depend on the order of its keys

  Scenario: One changed service changes one part
    # Guards against sending the complete text for a small change.
    Then changing one service of any text changes only its own part

  Scenario: A damaged part is rejected
    # Guards against installing a part whose bytes or name do not match the
    # head.
    Given the parts of the example text
    Then each part is rejected if any of its bytes is changed
    And each part is rejected under the name of another

  Scenario: Encoding and decoding preserves a head row
    Then any head is decoded as it was encoded
    And arbitrary bytes are either a head or rejected as malformed

  Scenario: The start of a move is kept while its version is unchanged
    # Guards against a later apply that restarts a running move.
    Given the example text accepted at 1000
    When the text key "services.summaries.versions.v1.retire" becomes true at 2000
    Then the move to "summaries/v2" started at 1000

  Scenario: A changed endpoint does not restart a move
    # Guards against a move that restarts when a replica is added or replaced.
    Given the example text accepted at 1000
    When the text key "services.summaries.versions.v1.endpoints.0.address" becomes "127.0.0.1:9" at 2000
    Then the move to "summaries/v1" started at 1000

  Scenario: A changed deadline restarts the move
    Given the example text accepted at 1000
    When the text key "services.summaries.versions.v2.done_by" becomes "2098-01-01T00:00:00Z" at 2000
    Then the move to "summaries/v2" started at 2000
    And the head contains 2 nonces

  Scenario: A new move whose deadline has passed is reported
    # Guards against a move that is taken back as soon as it starts.
    Given the example text accepted at 1000
    When the text key "services.summaries.versions.v2.done_by" becomes "1970-01-01T00:00:10Z" at 2000
    Then the late moves are "services.summaries.versions.v2.done_by"

  Scenario: A text may be applied again after the deadline of an earlier move
    # Guards against rejecting a text because of a move that was requested in
    # time by an earlier text.
    Given the example text accepted at 1000
    When the text key "client_accounts.portal.priority" becomes 7 at 9000000000
    Then the late moves are ""

  Scenario: Changes are described in sentences
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
    # Guards against a change that is not shown to the operator.
    Then the difference of any two texts is empty if and only if they are equal
