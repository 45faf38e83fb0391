Feature: Prompts that crash the endpoints answering them

  Scenario: A prompt that crashed two endpoints is not sent to a third one
    # Guards against one request that ends as many endpoints as its route
    # allows attempts, and all other streams that run there.
    Given stream endpoints that play
      | scripts    |
      | head die   |
      | head die   |
      | head 1 end |
    When streams with these shared segments are made in turn
      | segments |
      | a b      |
    Then the streams end as
      | end                    |
      | failed OUTCOME_UNKNOWN |
    And the endpoints received these counts of requests: "1 1 0"

  Scenario: Other prompts with the segment are refused at once as not run
    # Guards against new requests that crash one endpoint after the other,
    # and against callers that wait for an answer that cannot come.
    Given stream endpoints that play
      | scripts                |
      | head die               |
      | head die               |
      | head 1 end, head 1 end |
    When streams with these shared segments are made in turn
      | segments |
      | a b      |
      | b c a    |
      | a c      |
      | c        |
    Then the streams end as
      | end                        |
      | failed OUTCOME_UNKNOWN     |
      | refused PROMPT_QUARANTINED |
      | complete                   |
      | complete                   |
    And the endpoints received these counts of requests: "1 1 2"

  Scenario: A prompt that waits at an endpoint is taken back from it
    # Guards against the crashes of endpoints that are still reading prompts
    # when their segment becomes known.
    Given stream endpoints that play
      | scripts  |
      | head die |
      | head die |
      | hang     |
    When these streams run at the same time, the first of them last
      | segments |
      | a b      |
      | a b      |
    Then the streams end as
      | end                    |
      | failed OUTCOME_UNKNOWN |
      | failed OUTCOME_UNKNOWN |
    And the connection to endpoint 3 was closed
    And it took at most 1000 ms

  Scenario: A prompt goes on elsewhere after one crash
    # Guards against giving up a request because of a crash that has another
    # cause.
    Given stream endpoints that play
      | scripts      |
      | head die     |
      | head 1 2 end |
    When streams with these shared segments are made in turn
      | segments |
      | a b      |
    Then the streams end as
      | end      |
      | complete |

  Scenario: An endpoint that breaks off answers but lives is no crash
    # Guards against blaming prompts for answers that were lost on the way.
    Given stream endpoints that play
      | scripts    |
      | head crash |
      | head crash |
      | head 1 end |
    When streams with these shared segments are made in turn
      | segments |
      | a b      |
    Then the streams end as
      | end      |
      | complete |

  Scenario: Prompts are not blamed for crashes before their answer began
    # Guards against blaming prompts that wait at an endpoint when it crashes.
    Given stream endpoints that play
      | scripts    |
      | die        |
      | die        |
      | head 1 end |
    When streams with these shared segments are made in turn
      | segments |
      | a b      |
    Then the streams end as
      | end      |
      | complete |

  Scenario: A stream is not blamed for crashes in the middle of its answer
    # Guards against breaking off a stream that lost two endpoints late.
    Given stream endpoints that play
      | scripts                               |
      | head 1 2 3 4 5 6 7 8 9 die            |
      | head 10 11 12 13 14 15 16 17 18 die   |
      | head 19 20 end                        |
    When streams with these shared segments are made in turn
      | segments |
      | a b      |
    Then the streams end as
      | end      |
      | complete |

  Scenario: A stream whose deadline passes after a crash may have run
    # Guards against the promise that a stream did not run that ended its
    # endpoint, if the deadline passes while the endpoint is probed.
    Given stream endpoints that play "head die" and "head 1 end"
    And a probe of an endpoint takes 1000 ms
    When a stream is made with 300 ms left
    Then the outcome is unknown and late

  Scenario: An answer without length or chunks may crash its endpoint, too
    # Guards against taking the end of a crashed endpoint's connection for
    # the end of an empty answer.
    Given stream endpoints that play
      | scripts      |
      | unframed die |
      | unframed die |
      | head 1 end   |
    When streams with these shared segments are made in turn
      | segments |
      | a b      |
    Then the streams end as
      | end                    |
      | failed OUTCOME_UNKNOWN |
    And the endpoints received these counts of requests: "1 1 0"

  Scenario: Endpoints that crash before the head are evidence
    # Guards against prompts that end one endpoint after the other and leave
    # no evidence, as an endpoint that crashed had sent no head.
    Given stream endpoints that play
      | scripts                |
      | die                    |
      | die                    |
      | die                    |
      | die                    |
      | head 1 end, head 2 end |
    When 20 other prompts have come
    And streams with these shared segments are made in turn
      | segments |
      | a b      |
      | a c      |
      | a d      |
      | b        |
    Then the streams end as
      | end                        |
      | failed OUTCOME_UNKNOWN     |
      | failed OUTCOME_UNKNOWN     |
      | refused PROMPT_QUARANTINED |
      | complete                   |
    And the endpoints received these counts of requests: "1 1 1 1 1"

  Scenario: An answer of a few events is no proof if its endpoint ended
    # Guards against taking the end of a killed endpoint's connection for the
    # end of a sound answer.
    Given stream endpoints that play
      | scripts         |
      | unframed 1 exit |
      | unframed 2 exit |
      | head 3 end      |
    When streams with these shared segments are made in turn
      | segments |
      | a b      |
    Then the streams end as
      | end        |
      | broken off |
    And the endpoints received these counts of requests: "1 1 0"
