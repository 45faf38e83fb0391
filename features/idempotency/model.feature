Feature: Model of the at-most-once protocol

  Scenario Outline: The protocol holds in every reachable state
    # Guards against a second run that needs a sequence of faults which no
    # other test covers.
    Given the model of <kind> keys with <bounds>
    Then every reachable state runs the call at most once

    Examples:
      | kind   | bounds                                            |
      | issued | 4 requests, 0 lost answers, 2 crashes, 0 outages  |
      | client | 2 requests, 2 lost answers, 2 crashes, 1 outages  |
      | client | 3 requests, 1 lost answers, 0 crashes, 0 outages  |

  Scenario Outline: Without a guard the model finds a counterexample
    # Guards against a model that passes because it does not reach the
    # states that a guard excludes.
    Given the model of <kind> keys with 2 requests, 1 lost answers, 1 crashes, 0 outages
    Then without the guard "<guard>" there is a counterexample

    Examples:
      | kind   | guard                 |
      | issued | waits_for_running     |
      | issued | unknown_is_final      |
      | issued | sent_is_never_not_run |
      | issued | timeout_is_unknown    |
      | issued | checks_owner          |
      | issued | checks_incarnation    |
      | issued | clock_never_goes_back |
      | client | waits_for_running     |
      | client | unknown_is_final      |
      | client | sent_is_never_not_run |
      | client | timeout_is_unknown    |
      | client | compares_and_sets     |
      | client | confirms_lost_claim   |
      | client | reads_back_nonce      |
      | client | never_takes_over      |
      | client | remembers_unsent      |

  Scenario: Each guard is removed once
    # Guards against a new guard that no example above removes.
    Then the outline above names each guard of the model
