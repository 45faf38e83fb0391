Feature: Stops, configuration and moves with real processes

  Scenario: A planned stop of an entry instance interrupts no request
    # Guards against a drain that ends running streams or rejects requests
    # while callers still use the instance's address.
    Given a small site with 3 engines
    When 6 callers ask for an answer of 300 tokens each
    And the busy entry instance gets SIGTERM
    Then every caller's answer is complete without a reconnect
    And the stopped entry instance is named in no new address answer
    And the stopped entry instance ends with exit code 0

  Scenario: SIGHUP interrupts no request
    # Guards against an entry instance that ends at once, with all of its
    # requests, when it is told that its settings have changed.
    Given a small site with 3 engines
    When 6 callers ask for an answer of 300 tokens each
    And the busy entry instance gets SIGHUP
    Then every caller's answer is complete without a reconnect

  Scenario: A draining entry instance rejects new work with an address
    # Guards against a rejection that names no other entry instance.
    Given a small site with 3 engines
    When a caller asks for an answer of 4000 tokens
    And the busy entry instance gets SIGTERM
    And its last address answer has expired
    Then it rejects a new call with code 2000 and names another address
    And the caller's answer is complete without a reconnect

  Scenario: A request that is still arriving when the drain begins is served
    # Guards against a drain that ends while a request is being read, since
    # it counts a request only once it is admitted.
    Given a small site with 1 engines
    And entry instance "entry-4" whose addresses are valid for 0.5 s
    When half of a request is sent to it
    And the busy entry instance gets SIGTERM
    And 5 seconds have passed
    And the other half of the request is sent
    Then the request is answered with status 200
    And the stopped entry instance ends with exit code 0

  Scenario: A leaving endpoint gets no new work although the list lags
    # Guards against routing by the platform's list alone, which shows a
    # leaving endpoint late.
    Given a small site with 1 engines
    When the first portal replica reports that it is leaving
    And 3 seconds have passed
    Then it gets none of the next 30 calls

  Scenario: An entry instance that starts in an outage gets the newest text
    # Guards against serving an old revision, or none, after a start without
    # the store.
    Given a small site with 1 engines
    And the text was changed 2 times
    And the platform's store is down and its list answers
    When entry instance "entry-9" starts
    Then it has revision 3 in force and serves

  Scenario: Two operators apply different texts at once
    # Guards against merging conflicting edits or silently dropping one.
    Given a small site with 1 engines
    When two operators apply different texts on revision 1 at once
    Then one apply is accepted and the other reports what changed
    And the accepted text is in force everywhere within 16 s

  Scenario: The answer to an apply is lost
    # Guards against reporting a failure when only the answer to the write
    # was lost and the text is in force.
    Given a small site with 1 engines
    When the platform loses the answers to writes
    Then an apply on revision 1 is reported as accepted

  Scenario: An entry instance that reaches neither store nor peers stops admitting
    # Guards against admitting work under a text that may be out of date.
    Given a small site with 1 engines
    And the platform is down
    When the other entry instances are frozen
    Then within 14 s it rejects new calls with code 2006

  Scenario: The store is down for everyone
    # Guards against a store outage that stops the service although the
    # entries still reach each other.
    Given a small site with 1 engines
    And the platform is down
    When 14 seconds have passed
    Then the next 10 calls of the portal are answered

  Scenario: A version that fails at once is taken back
    # Guards against a faulty version that keeps its share of the calls.
    Given a small site with 1 engines
    And 4 replicas of portal v1 and 4 failing ones of portal v2
    When the text asks to move the portal to v2 within 30 s under traffic
    Then the move is reported as taken back
    And at most 5% of the calls went to v2 until then
    And no call goes to v2 later than 3 s after the verdict

  Scenario: A good version is moved to by the time asked
    # Guards against taking back a good version or finishing its move late.
    Given a small site with 1 engines
    And 4 replicas of portal v1 and 4 working ones of portal v2
    When the text asks to move the portal to v2 within 30 s under traffic
    Then the move is reported as done by the time asked
