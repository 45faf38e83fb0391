Feature: Reconciling endpoints with the wanted state

  Scenario: A wanted state is declared once and not again at once
    # Guards against sending an order in every pass.
    Given an order reconciler with an endpoint that checks fencing numbers
    When it is reconciled 5 times
    Then the endpoint accepted 1 orders and runs "v2"

  Scenario: A changed wanted state is declared in the next pass
    # Guards against an endpoint that keeps the old state after a change of
    # the configuration.
    Given an order reconciler with an endpoint that checks fencing numbers
    When it is reconciled 2 times
    And the wanted version becomes "v3"
    And it is reconciled 2 times
    Then the endpoint accepted 2 orders and runs "v3"

  Scenario: An endpoint that lost its state is corrected
    # Guards against an endpoint that restarts with its old version and stays
    # there.
    Given an order reconciler with an endpoint that ignores fencing numbers
    When it is reconciled 2 times
    And the endpoint falls back to "v1"
    And 6 s pass and it is reconciled 2 times
    Then the endpoint accepted 2 orders and runs "v2"

  Scenario: A late order with an old fencing number is refused
    # Guards against the effect of a delayed order of a former lease holder.
    Given an order reconciler with an endpoint that checks fencing numbers
    When it is reconciled 2 times
    And an order for "v0" with an old fencing number arrives late
    Then the endpoint accepted 1 orders and runs "v2"

  Scenario: Without number checks an old order holds until the next pass
    # An endpoint that ignores fencing numbers accepts a delayed order of a
    # former lease holder. Guards against its state lasting beyond the next
    # pass.
    Given an order reconciler with an endpoint that ignores fencing numbers
    When it is reconciled 2 times
    And an order for "v0" with an old fencing number arrives late
    Then the endpoint accepted 2 orders and runs "v0"
    When 6 s pass and it is reconciled 2 times
    Then the endpoint accepted 3 orders and runs "v2"

  Scenario: A lost answer leads to a read-back and no second effect
    # Guards against treating a lost answer as a failure or a success.
    Given an order reconciler with an endpoint that checks fencing numbers
    When the answer to the order is lost
    And it is reconciled 3 times
    Then the endpoint runs "v2"

  Scenario: A refusal with a newer number ends the lease term
    # Guards against a former holder that keeps sending orders to other
    # endpoints.
    Given an order reconciler with an endpoint that checks fencing numbers
    When the endpoint has seen fencing number 99
    And it is reconciled 1 times
    Then the endpoint accepted 0 orders and runs "v1"
    And the reconciler no longer holds the lease

  Scenario: No order goes out while the load report is slow
    # Guards against a lease deadline that passes between the check and the
    # send, because the holder is paused while it reads the load report.
    Given an order reconciler with an endpoint that ignores fencing numbers
    When reading the load report takes 20 s
    And it is reconciled 1 times
    Then the endpoint accepted 0 orders and runs "v1"
    But without the lease check the endpoint accepted 1 orders

  Scenario: A new holder declares the wanted state again
    # Guards against relying on a declaration of a former holder.
    Given an order reconciler with an endpoint that checks fencing numbers
    When it is reconciled 2 times
    And the lease is lost and acquired again
    And it is reconciled 2 times
    Then the endpoint accepted 2 orders and runs "v2"

  Scenario: A leaving endpoint gets no orders
    # Guards against loading a version on an endpoint that is shutting down.
    Given an order reconciler with an endpoint that checks fencing numbers
    When the endpoint reports that it is leaving
    And it is reconciled 2 times
    Then the endpoint accepted 0 orders and runs "v1"
