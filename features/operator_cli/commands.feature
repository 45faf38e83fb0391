Feature: Operator commands

  Scenario: A valid text is checked without a platform
    Given an operator with the example text
    When the operator runs "check TEXT"
    Then the command exits with 0 and prints "The text is valid."

  Scenario: Every error of a text is printed
    Given an operator with the example text
    And the operator sets "services.summaries.depends_on" to ["billing"]
    And the operator sets "client_accounts.portal.priority" to 7
    When the operator runs "check TEXT"
    Then the command exits with 1 and prints "services.summaries.depends_on.0: there is no service billing"
    When the operator runs "check TEXT --json"
    Then the command exits with 1 and prints JSON with "errors.0.path" equal to "services.summaries.depends_on.0"

  Scenario: A file that cannot be read is an error
    Given an operator with the example text
    When the operator runs "check /nonexistent"
    Then the command exits with 1 and prints "Cannot read /nonexistent"

  Scenario: A result code is explained by number and by name
    Given an operator with the example text
    When the operator runs "explain 2000"
    Then the command exits with 0 and prints "The request did not run."
    When the operator runs "explain outcome_unknown --json"
    Then the command exits with 0 and prints JSON with "not_run" equal to false
    When the operator runs "explain 9999"
    Then the command exits with 1 and prints "no result code 9999"

  Scenario: A text is applied, shown and compared
    Given an operator with the example text and a platform
    When the operator runs "show"
    Then the command exits with 1 and prints "No text is accepted yet."
    When the operator runs "diff TEXT"
    Then the command exits with 0 and prints "Service summaries is added."
    When the operator runs "apply TEXT --base 0"
    Then the command exits with 0 and prints "Accepted: revision 1."
    When the operator runs "show --json"
    Then the command exits with 0 and prints JSON with "text.services.summaries.versions.v2.weights" equal to "sum-v2"
    When the operator runs "diff TEXT"
    Then the command exits with 0 and prints "No changes."
    Given the operator sets "services.summaries.versions.v1.retire" to true
    When the operator runs "diff TEXT --json"
    Then the command exits with 0 and prints JSON with "changes.0.kind" equal to "version_retired"

  Scenario: The output of show is a valid text
    # Guards against a printed text that the check rejects or that differs
    # from the accepted one.
    Given an operator with the example text and a platform
    When the operator runs "apply TEXT --base 0"
    And the operator runs "show"
    And the operator saves the output as the text
    And the operator runs "diff TEXT"
    Then the command exits with 0 and prints "No changes."

  Scenario: A text with an error is not applied
    Given an operator with the example text and a platform
    And the operator sets "services.summaries.depends_on" to ["billing"]
    When the operator runs "apply TEXT --base 0"
    Then the command exits with 1 and prints "there is no service billing"
    And the accepted revision is 0

  Scenario: A move whose done_by time has passed is not applied
    Given an operator with the example text and a platform
    And the operator sets "services.summaries.versions.v2.done_by" to "2020-01-01T00:00:00Z"
    When the operator runs "apply TEXT --base 0"
    Then the command exits with 1 and prints "the time has passed already"
    And the accepted revision is 0

  Scenario: A conflicting apply lists what changed
    # Guards against overwriting another operator's edit that was accepted
    # after the text was read.
    Given an operator with the example text and a platform
    When the operator runs "apply TEXT --base 0"
    And a colleague applies "client_accounts.portal.priority" set to 7 on base 1
    And the operator runs "apply TEXT --base 1"
    Then the command exits with 3 and prints "Not applied: revision 2 is the accepted one"
    And the command printed "Client account portal: priority 5 -> 7."
    And the accepted revision is 2

  Scenario: A base that was never accepted is a conflict
    Given an operator with the example text and a platform
    When the operator runs "apply TEXT --base 4"
    Then the command exits with 3 and prints "Not applied"

  Scenario: An apply during a platform outage is reported as not applied
    Given an operator with the example text and a platform
    And the operator's platform fault down is true
    When the operator runs "apply TEXT --base 0"
    Then the command exits with 4 and prints "Not applied: the store is unavailable"
    When the operator runs "show"
    Then the command exits with 4 and prints "The platform is unavailable"
    When the operator runs "status"
    Then the command exits with 4 and prints "The platform is unavailable"

  Scenario: An apply to an unreachable platform is reported as not applied
    Given an operator with the example text
    When the operator runs "apply TEXT --base 0 --platform http://127.0.0.1:1"
    Then the command exits with 4 and prints "Not applied: the store is unavailable"

  Scenario Outline: A lost answer to the head write is resolved by reading: <what>
    # Guards against an accepted text that is reported as unknown or as a
    # conflict, and against accepting the same text twice, when the answer to
    # the write is lost.
    Given a platform in memory whose head write <what>
    When the example text is published in memory
    Then the publish outcome is <outcome>
    And <writes> head revisions were written

    Examples:
      | what                                           | outcome          | writes |
      | is applied and its answer lost                 | Accepted         | 1      |
      | is lost                                        | Accepted         | 1      |
      | is lost and arrives after the second one       | Accepted         | 1      |
      | is lost and another text is accepted           | Outdated         | 1      |
      | is applied, answer lost, and a text follows    | Accepted         | 2      |
      | is applied, answer lost, and 20 texts follow   | Unknown          | 21     |
      | is refused                                     | StoreUnavailable | 0      |
      | is lost and the store goes down                | Unknown          | 0      |

  Scenario Outline: Exactly one of several concurrent applies succeeds (answers lost: <lost>)
    # Guards against two accepted texts with the same base, with and without
    # lost answers to the writes.
    Given an operator with the example text and a platform
    And the operator's platform fault lose_write_answers is <lost>
    When 6 operators publish against base 0 at once
    Then exactly 1 publish was accepted and 5 were outdated
    And the accepted revision is 1

    Examples:
      | lost  |
      | false |
      | true  |

  Scenario: Status lists the missing entries and the moves
    Given an operator with the example text and a platform
    And the operator runs "apply TEXT --base 0"
    And the entry "entry-1" answers with revision 1 and a move "taken_back" because "errors"
    And the entry "entry-2" answers with revision 0 and a move "moving" because ""
    And the entry "entry-3" does not answer
    And the entry "entry-4" answers malformed
    And the verdict row "summaries/v2/abc" says "taken_back" because "errors"
    When the operator runs "status"
    Then the command exits with 0 and prints "Accepted: revision 1."
    And the command printed "In force on 1 of 4 entries."
    And the command printed "missing: entry-2 (has revision 0, serving)"
    And the command printed "missing: entry-3 (no answer: "
    And the command printed "missing: entry-4 (no answer: malformed answer)"
    And the command printed "Move summaries/v2: taken_back because errors, share 0.0% on 1 entries."
    And the command printed "Verdict summaries/v2/abc: taken_back because errors."
    When the operator runs "status --json"
    Then the command exits with 0 and prints JSON with "in_force" equal to ["entry-1"]
