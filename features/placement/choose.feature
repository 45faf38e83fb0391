Feature: Placement of streams and calls

  Scenario: Streams of several entries share the endpoints
    # Replays 9 entries that each start a stream every two seconds before
    # 9 endpoints. Two prompts at one endpoint make both late.
    When 300 streams of 9 entries are placed with 9 endpoints
    Then at most 5 in 100 begin beside another prompt
    But without the news of other entries at least 20 in 100 do

  Scenario: The copy of a stream is kept in another failure domain
    # Guards against losing a stream and its copy with one zone.
    Given endpoints "a1, a2, b1, c1" by failure domain
    Then no backup of a stream at "a1" is in its failure domain

  Scenario: A single failure domain still has backups
    # Guards against streams without a copy where there is one zone.
    Given endpoints "a1, a2" by failure domain
    Then the backup of a stream at "a1" is "a2"

  Scenario: The last endpoints are never all left out
    # Guards against refusing everything when all endpoints failed once.
    Given endpoints "a1, b1" by failure domain
    When all of them fail at once
    Then a stream still has an endpoint

  Scenario: Two lost endpoints put their failure domain behind the others
    # Replays a zone of 18 endpoints that crashes: streams that ask one
    # after the other are late.
    Given endpoints "a1, a2, a3, a4, b1, c1" by failure domain
    When "a1" and "a2" are lost
    Then a stream goes to "b1, c1"

  Scenario: A single lost endpoint does not hide its failure domain
    # Guards against leaving out a zone for one crash.
    Given endpoints "a1, a2" by failure domain
    When "a1" is lost
    Then a stream goes to "a2"

  Scenario: A repeat goes where its prompt was read
    # Guards against reading 8,000 tokens again after an entry is stopped.
    Given endpoints "a1, a2, b1, c1" by failure domain
    Then a stream whose prompt "b1" has read goes to "b1"

  Scenario: A busy endpoint does not get the repeat
    # Guards against a prompt that delays all streams of an endpoint.
    Given endpoints "a1, a2, b1, c1" by failure domain
    When "b1" runs 8 streams
    Then a stream whose prompt "b1" has read does not go to "b1"

  Scenario: Sessions are kept for a while and do not pile up
    # Guards against growth with the number of requests.
    When 10000 sessions are learned over 100 s
    Then at most 1600 sessions are kept and the newest is among them
