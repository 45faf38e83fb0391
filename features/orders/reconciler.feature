Feature: Keeping endpoints in the wanted state

  Scenario: A wanted state is declared once and not again at once
    # Guards against an order at each look.
    Given an order reconciler with an endpoint that checks fencing numbers
    When it is reconciled 5 times
    Then the endpoint took 1 orders and runs "v2"

  Scenario: A changed wanted state is declared at the next look
    # Guards against an endpoint left behind by a text change.
    Given an order reconciler with an endpoint that checks fencing numbers
    When it is reconciled 2 times
    And the wanted version becomes "v3"
    And it is reconciled 2 times
    Then the endpoint took 2 orders and runs "v3"

  Scenario: An endpoint that lost its state is corrected
    # Guards against an endpoint that restarted with its old version.
    Given an order reconciler with an endpoint that ignores fencing numbers
    When it is reconciled 2 times
    And the endpoint falls back to "v1"
    And 6 s pass and it is reconciled 2 times
    Then the endpoint took 2 orders and runs "v2"

  Scenario: An old order that arrives late is refused by its number
    # Guards against an order of a former holder.
    Given an order reconciler with an endpoint that checks fencing numbers
    When it is reconciled 2 times
    And an order for "v0" with an old fencing number arrives late
    Then the endpoint took 1 orders and runs "v2"

  Scenario: Without checks an old order works until the next read-back
    # States the risk that remains and guards against its lasting longer.
    Given an order reconciler with an endpoint that ignores fencing numbers
    When it is reconciled 2 times
    And an order for "v0" with an old fencing number arrives late
    Then the endpoint took 2 orders and runs "v0"
    When 6 s pass and it is reconciled 2 times
    Then the endpoint took 3 orders and runs "v2"

  Scenario: An unknown answer leads to a read-back and no second effect
    # Guards against treating a lost answer as a failure or a success.
    Given an order reconciler with an endpoint that checks fencing numbers
    When the answer to the order is lost
    And it is reconciled 3 times
    Then the endpoint runs "v2"

  Scenario: A refusal with a newer number ends the holder's term
    # Guards against a former holder that goes on with other endpoints.
    Given an order reconciler with an endpoint that checks fencing numbers
    When the endpoint has seen fencing number 99
    And it is reconciled 1 times
    Then the endpoint took 0 orders and runs "v1"
    And the reconciler no longer holds the lease

  Scenario: No order goes out while the load report is slow
    # Guards against a deadline that passes between check and send: the
    # holder is paused while it reads the load report.
    Given an order reconciler with an endpoint that ignores fencing numbers
    When reading the load report takes 20 s
    And it is reconciled 1 times
    Then the endpoint took 0 orders and runs "v1"
    But without the lease check the endpoint took 1 orders

  Scenario: A new holder declares the wanted state again
    # Guards against trusting what a former holder declared.
    Given an order reconciler with an endpoint that checks fencing numbers
    When it is reconciled 2 times
    And the lease is lost and taken again
    And it is reconciled 2 times
    Then the endpoint took 2 orders and runs "v2"

  Scenario: A leaving endpoint gets no orders
    # Guards against loading a version on an endpoint that goes away.
    Given an order reconciler with an endpoint that checks fencing numbers
    When the endpoint reports that it is leaving
    And it is reconciled 2 times
    Then the endpoint took 0 orders and runs "v1"
