Feature: Model of the at-most-once protocol

  Scenario Outline: The protocol holds in every reachable state
    # Guards against a double run that no single test would reach.
    Given the model of <kind> keys with <bounds>
    Then every reachable state runs the call at most once

    Examples:
      | kind   | bounds                                            |
      | issued | 4 requests, 0 lost answers, 2 crashes, 0 outages  |
      | client | 2 requests, 2 lost answers, 2 crashes, 1 outages  |
      | client | 3 requests, 1 lost answers, 0 crashes, 0 outages  |

  Scenario Outline: The model finds what each guard prevents
    # Guards against a model that holds because it checks nothing.
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

  Scenario: Each guard is tried
    # Guards against a guard that is added and never shown to matter.
    Then the outline above names each guard of the model
