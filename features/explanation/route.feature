Feature: Where a request would go now, and why

  Scenario: Candidates have the costs by which streams are placed
    # Guards against an explanation that names other endpoints than those
    # that streams go to, or costs that are not the sum of their parts.
    Given these endpoints of a model service
      | id | domain | streams | starting | work | saving | limit | state    |
      | a1 | fd-a   | 2       | 0        | 1.0  | 0      | no    | listed   |
      | a2 | fd-a   | 2       | 1        | 0.8  | 2.5    | no    | listed   |
      | a3 | fd-a   | 0       | 0        | 1.0  | 0      | yes   | listed   |
      | a4 | fd-a   | 9       | 0        | 2.0  | 0      | no    | listed   |
      | a5 | fd-a   | 0       | 0        | 1.0  | 0      | spent | listed   |
      | b1 | fd-b   | 0       | 0        | 1.0  | 0      | no    | ejected  |
      | b2 | fd-b   | 0       | 0        | 1.0  | 0      | no    | down     |
      | b3 | fd-b   | 0       | 0        | 1.0  | 0      | no    | leaving  |
      | b4 | fd-b   | 0       | 0        | 1.0  | 0      | no    | replaced |
      | b5 | fd-b   | 0       | 0        | 1.0  | 0      | no    | canary   |
      | c1 | fd-c   | 0       | 0        | 1.0  | 0      | no    | down     |
      | c2 | fd-c   | 0       | 0        | 1.0  | 0      | no    | down     |
      | c3 | fd-c   | 0       | 0        | 1.0  | 0      | no    | listed   |
    When a stream is explained
    Then the candidates are "a2 a3 a1 a4" and each cost is the sum of its parts
    And the choices are those of 200 placements
    And the others are excluded
      | id | reason                            |
      | a5 | limit exhausted                   |
      | b1 | ejected                           |
      | b2 | down                              |
      | b3 | leaving                           |
      | b4 | replaced                          |
      | b5 | new version, gets a share of requests |
      | c1 | down                              |
      | c2 | down                              |
      | c3 | failure domain down               |
    When a call is explained
    Then the choices are those of 200 placements

  Scenario Outline: A stream is sent, waits or is refused: <streams> streams, <unread> tokens unread
    # Guards against an answer other than that which the stream would get.
    Given an entry whose <count> engines each run <streams> streams with <unread> unread tokens
    When it is asked about a stream of 8000 tokens
    Then the outcome is "<outcome>" with <choices> choices
    And a stream that is decided on gets the same

    Examples:
      | count | streams | unread | outcome                 | choices |
      | 2     | 0       | 0      | send                    | 2       |
      | 2     | 1       | 8000   | wait                    | 0       |
      | 2     | 2       | 16000  | refuse OVERLOADED late  | 0       |
      | 0     | 0       | 0      | refuse NO_ENDPOINT      | 0       |

  Scenario: Asking changes nothing
    # Guards against permits, counts, quarantine trials, times of return or
    # kinds of streams that an operator's question takes or records.
    Given an entry whose 2 engines each run 2 streams with 16000 unread tokens
    And one engine has a limit, and the quarantine of the prompt just ended
    When it is asked about streams and calls 5 times
    Then its state is as before
    But a stream that is decided on changes it

  Scenario Outline: A request is refused before room counts: <why>
    # Guards against "sent now" for what the checks around admission refuse.
    Given an entry whose 2 engines each run 0 streams with 0 unread tokens
    And <why>
    When it is asked about a stream of 8000 tokens
    Then the outcome is "refuse <outcome>" with <choices> choices

    Examples:
      | why                                    | outcome                  | choices |
      | the prompt is quarantined              | PROMPT_QUARANTINED       | 2       |
      | it drains                              | DRAINING                 | 2       |
      | its streams take longer than the route | DEADLINE_BEFORE_SEND     | 2       |
      | the limit of each engine is spent      | ENDPOINT_LIMITS at least | 0       |

  Scenario: An account's call waits in the queue of a full service
    # Guards against "sent now" while calls wait for their turn.
    Given an entry at which a declined call waits
    When it is asked about a call
    Then the outcome is "queue" with 1 choices

  Scenario: An operator asks an entry
    # Guards against a command that fails at the control address of a process.
    Given a fleet with 1 entries, 2 model endpoints and 1 plain endpoint
    Then these questions to entry-0 end so
      | options                                               | code | output                   |
      | --host fleet.example --path /summaries/1 --account acme | 0  | would be sent now        |
      | --host FLEET.example:80 --path /complaints/1 --account acme | 0 | Service desk (100%      |
      | --host fleet.example --path /summaries/1 --account acme --json --segments a:10,b:20 | 0 | "is_choice": true |
      | --host other --path /summaries/1 --account acme       | 6    | No route has the host    |
      | --host fleet.example --path /none --account acme      | 7    | No route of              |
      | --host fleet.example --path /summaries/1 --account x  | 8    | No client account has    |
      | --host fleet.example --path /summaries/1              | 8    | needs a client account   |
      | --host fleet.example --path /1 --segments a           | 2    | ID:TOKENS                |
    And a question to a port without an entry ends with 9
    And no endpoint ran a request
    And "godwitvalve fleet" needs a store and prints what it has, as before
    And too long or invalid questions are refused with 413 and 400
