Feature: Placement of streams and calls

  Scenario: Entries spread their streams over the endpoints
    # 9 entries each start a stream every two seconds at 9 endpoints. Two
    # prompts that are processed at one endpoint make both streams late.
    When 300 streams of 9 entries are placed at 9 endpoints
    Then at most 5 in 100 start during the prompt of another stream
    But without the placements of other entries at least 20 in 100 do

  Scenario: The backup of a stream is kept in another failure domain
    # Guards against losing a stream and its backup when one failure domain
    # crashes.
    Given endpoints "a1, a2, b1, c1" by failure domain
    Then no backup of a stream at "a1" is in its failure domain

  Scenario: A single failure domain still has backups
    # Guards against streams without a backup where there is only one failure
    # domain.
    Given endpoints "a1, a2" by failure domain
    Then the backup of a stream at "a1" is "a2"

  Scenario: Endpoints are used although all of them are ejected
    # Guards against refusing all requests after every endpoint failed once.
    Given endpoints "a1, b1" by failure domain
    When all of them fail at once
    Then a stream still has an endpoint

  Scenario: Two lost endpoints put their failure domain behind the others
    # A failure domain of 18 endpoints crashes. Streams that try one endpoint
    # after the other are late.
    Given endpoints "a1, a2, a3, a4, b1, c1" by failure domain
    When "a1" and "a2" are lost
    Then a stream goes to "b1, c1"

  Scenario: One lost endpoint does not put its failure domain behind
    # Guards against avoiding a failure domain after a single crash.
    Given endpoints "a1, a2" by failure domain
    When "a1" is lost
    Then a stream goes to "a2"

  Scenario: A retried stream goes where its prompt was processed
    # Guards against processing 8,000 tokens again after an entry is stopped.
    Given endpoints "a1, a2, b1, c1" by failure domain
    Then a stream whose prompt "b1" has processed goes to "b1"

  Scenario: A retried stream does not go to a busy endpoint
    # Guards against delaying all streams of a loaded endpoint.
    Given endpoints "a1, a2, b1, c1" by failure domain
    When "b1" runs 8 streams
    Then a stream whose prompt "b1" has processed does not go to "b1"

  Scenario: Sessions expire
    # Guards against memory that grows with the number of requests.
    When 10000 sessions are merged over 100 s
    Then at most 1600 sessions are kept and the newest is among them
