Feature: Entry instances on the users' platform, as processes

  Scenario: A call and a stream are served whole
    # Guards against a path that does not serve a calm day.
    Given a fleet with 2 entries, 2 model endpoints and 1 plain endpoint
    When a caller sends a complaint
    Then the complaint ran once and its answer is the endpoint's own
    When a caller asks for a summary
    Then the summary is whole

  Scenario: A killed endpoint does not cut a summary
    # Guards against losing minutes of work with one engine.
    Given a fleet with 1 entries, 2 model endpoints and 1 plain endpoint
    When the endpoint of a summary is killed in the middle
    Then the summary is whole

  Scenario: A planned stop cuts nothing and is not named
    # Guards against requests that a stop cuts.
    Given a fleet with 2 entries, 2 model endpoints and 1 plain endpoint
    When an entry is told to stop in the middle of a summary
    Then the summary is whole
    And the entry was not ready and not named meanwhile
    And the entry ended with code 0 within 8 s

  Scenario: A killed entry is no longer named
    # Guards against callers that wait for a dead address.
    Given a fleet with 2 entries, 2 model endpoints and 1 plain endpoint
    When an entry is killed
    Then the other entry names only itself within 2 s

  Scenario: A caller that leaves ends the work of the endpoint
    # Guards against endpoints that work for nobody.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When a caller leaves in the middle of a summary
    Then the entry has no request in flight within 500 ms

  Scenario: A configuration is in force within two seconds
    # Guards against routes and keys that stay after they were removed.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    When the operator removes the key and adds a route
    Then all entries refuse the key and know the route within 2 s

  Scenario: An older configuration does not come back
    # Guards against a configuration that reverts.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When the operator removes the key and an older version is written
    Then all entries refuse the key for 1 s

  Scenario: A start in an outage of the store takes the state of others
    # Guards against a fleet that cannot restart while the store is away.
    Given a fleet with 1 entries, 2 model endpoints and 1 plain endpoint
    When the store is away and another entry starts
    Then the new entry serves a complaint

  Scenario: An entry that knows no configuration says so
    # Guards against refusing proper requests with 404 or 401.
    Given a fleet without a configuration and 1 entries
    Then a complaint gets status 503 with a time to come back

  Scenario: The store forgets its history
    # Guards against an entry that no longer hears of changes.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When the store forgets its history and the key is removed
    Then all entries refuse the key and know the route within 2 s

  Scenario: Damaged rows of endpoints are left out
    # Guards against a process that ends because of another writer's row.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When rows of endpoints hold other things
    And a caller sends a complaint
    Then the complaint ran once and its answer is the endpoint's own

  Scenario: A bad version is taken back
    # Guards against an order that nobody follows, and callers that meet a
    # bad version again and again.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    When the operator moves complaints to a version that fails within 6 s
    Then the store tells "rolled_back" and 20 complaints go to the old version

  Scenario: A good version takes over in time
    # Guards against a version that waits for ever.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    When the operator moves complaints to a version that works within 6 s
    Then the store tells "completed" and 20 complaints go to the new version

  Scenario: A failed request is explained by its id
    # Guards against logs that do not tell why a request failed.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When the plain endpoint loses the answer to a complaint
    Then the complaint gets status 502 and ran once
    And the log names the endpoint and the reason for its id
    And the metrics count the refusal

  Scenario: Operators see what the store holds
    # Guards against asking a damaged store what is in force.
    Given a fleet with 1 entries, 2 model endpoints and 1 plain endpoint
    When rows of endpoints hold other things
    Then the operator command shows version 5, 3 endpoints and 6 damaged rows

  Scenario: Bad settings are all told at once
    # Guards against an entry that starts with half of its settings.
    Then settings without an address and with a wrong number name both errors

  Scenario: Only the adapter knows the platform's names
    # Guards against names of the wire that spread through the code.
    Then no module outside the adapter uses a name of the platform's wire
