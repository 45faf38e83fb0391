Feature: Entry instances on the users' platform, as processes

  Scenario: A call and a stream are served completely
    # Guards against a request path that fails without any fault present.
    Given a fleet with 2 entries, 2 model endpoints and 1 plain endpoint
    When a caller sends a complaint
    Then the complaint ran once and its answer is the endpoint's own
    When a caller asks for a summary
    Then the summary is complete

  Scenario: A killed endpoint does not interrupt a summary
    # Guards against losing minutes of work when one engine dies: the stream
    # must be resumed at the other endpoint.
    Given a fleet with 1 entries, 2 model endpoints and 1 plain endpoint
    When the endpoint of a summary is killed in the middle
    Then the summary is complete

  Scenario: A stopping entry completes its streams and is not listed
    # Guards against requests that are interrupted by a planned stop, and
    # against new callers that are sent to the stopping entry.
    Given a fleet with 2 entries, 2 model endpoints and 1 plain endpoint
    When an entry is asked to stop in the middle of a summary
    Then the summary is complete
    And the entry was not ready and not listed meanwhile
    And the entry ended with code 0 within 8 s

  Scenario: A killed entry is no longer listed
    # Guards against callers that are given the address of a dead entry and
    # wait for it.
    Given a fleet with 2 entries, 2 model endpoints and 1 plain endpoint
    When an entry is killed
    Then the other entry lists only itself within 2 s

  Scenario: A request ends when its caller disconnects
    # Guards against requests that go on using an endpoint after their caller
    # has disconnected.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When a caller disconnects in the middle of a summary
    Then the entry has no request in flight within 500 ms

  Scenario: A configuration is in force within two seconds
    # Guards against keys that stay valid after their removal, and against
    # routes that are missing after they were added.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    When the operator removes the key and adds a route
    Then all entries refuse the key and know the route within 2 s

  Scenario: An older configuration is not applied
    # Guards against a removed key that is valid again because an older
    # version is written after a newer one.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When the operator removes the key and an older version is written
    Then all entries refuse the key for 1 s

  Scenario: An entry that starts in a store outage reads state from a peer
    # Guards against a fleet that cannot restart while the store is
    # unavailable.
    Given a fleet with 1 entries, 2 model endpoints and 1 plain endpoint
    When the store is unavailable and another entry starts
    Then the new entry serves a complaint

  Scenario: An entry without a configuration answers that it is not ready
    # Guards against refusing valid requests with 404 or 401 before the first
    # configuration is read.
    Given a fleet without a configuration and 1 entries
    Then a complaint gets status 503 with a time to retry

  Scenario: The store discards its change history
    # Guards against an entry that receives no more changes, because the
    # version after which it asks for changes is no longer available.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When the store discards its change history and the key is removed
    Then all entries refuse the key and know the route within 2 s

  Scenario: A change that the waiting feeds do not report is in force in time
    # Guards against waits that outlast the time limit of configurations: the
    # store may report nothing to waiting feeds and drop its history then.
    Given a fleet with 3 entries, 1 model endpoints and 1 plain endpoint
    When the feeds of the store report nothing and the key is removed
    Then all entries refuse the key and know the route within 2 s

  Scenario: Damaged rows of endpoints are skipped
    # Guards against a process that ends because another writer wrote a row
    # that cannot be decoded.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When damaged rows of endpoints are written
    And a caller sends a complaint
    Then the complaint ran once and its answer is the endpoint's own

  Scenario: Odd rows of endpoints end no entry and hide no other row
    # Guards against entries that end again and again, or do not follow the
    # table any more, while another writer's rows are among the endpoints.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    When odd rows are left among those of the endpoints
    And another entry starts beside them
    Then each entry serves 5 complaints at "p0"
    When the endpoint "p1" takes over from "p0"
    And odd rows are left among those of the endpoints
    Then each entry serves 5 complaints at "p1"
    When a caller asks for a summary
    Then the summary is complete
    And no entry has ended or restarted a task
    And each entry logged each odd row once

  Scenario: An entry outlives any content of its settings file
    # Guards against a process that ends at SIGHUP, and against operators who
    # do not learn that the file is wrong.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When the settings file gets odd contents, each followed by SIGHUP
    Then the entry logged an error for each
    And each entry serves 5 complaints at "p0"
    And no entry has ended or restarted a task

  Scenario: A failing version is rolled back
    # Guards against a roll-out order that no entry carries out, and against
    # callers that get answers of a failing version again and again.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    When the operator moves complaints to a version that fails within 6 s
    Then the store shows "rolled_back" and 20 complaints go to the old version

  Scenario: A working version is completed in time
    # Guards against a roll-out that never completes.
    Given a fleet with 2 entries, 1 model endpoints and 1 plain endpoint
    When the operator moves complaints to a version that works within 6 s
    Then the store shows "completed" and 20 complaints go to the new version

  Scenario: A failed request is explained by its id
    # Guards against logs from which the reason of a failed request cannot be
    # found by its id.
    Given a fleet with 1 entries, 1 model endpoints and 1 plain endpoint
    When the plain endpoint loses the answer to a complaint
    Then the complaint gets status 502 and ran once
    And the log gives the endpoint and the reason under its id
    And the metrics count the refusal

  Scenario: Operators see what the store holds
    # Guards against operators who cannot see the configuration in force and
    # the endpoints when the store holds damaged rows.
    Given a fleet with 1 entries, 2 model endpoints and 1 plain endpoint
    When damaged rows of endpoints are written
    Then the operator command shows version 5, 3 endpoints and 6 damaged rows

  Scenario: All errors of the settings are reported at once
    # Guards against an entry that starts with incomplete settings, and
    # against operators who find the errors one by one.
    Then settings without an address and with a wrong number report both errors

  Scenario: A single port for entries among themselves is reported
    # Guards against an entry that ends when it opens its second socket.
    Then settings with one port for entries report "peer_ports"

  Scenario: Only the platform adapter uses the names of its wire format
    # Guards against header and field names of the platform that spread
    # through the code.
    Then no module outside the adapter uses a name of the wire format
