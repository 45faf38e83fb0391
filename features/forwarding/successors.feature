Feature: Restarted endpoints while the store is unavailable

  Scenario Outline: The next user of an address is its restarted endpoint only in time
    # Guards against requests at an endpoint of another service: the address
    # of an endpoint that ended is given to one after 2 s.
    Given an endpoint that was seen <seen_s> s ago and another one at its address
    When its successor is searched while the store is down
    Then <found> is found

    Examples:
      | seen_s | found          |
      | 0.1    | the other one  |
      | 1.5    | the other one  |
      | 1.9    | no successor   |
      | 4.0    | no successor   |

  Scenario: A search ends over a suspension of the machine
    # Guards against a search that goes on after seconds that the monotonic
    # clock doesn't count.
    Given an endpoint that was seen 0.1 s ago and none at its address
    When the machine is suspended for 3 s during the search, and another endpoint starts there
    Then no successor is found

  Scenario Outline: Old bytes do not show that their endpoint lives
    # Guards against an endpoint that seems to have lived until its last events
    # arrived, or until an entry that was held up read them.
    Given an endpoint that <sends> and ends
    When its stream is read to its end
    Then it was seen last at most 0.3 s after that sending

    Examples:
      | sends                                               |
      | sends events and holds up the event loop for 1 s    |
      | sends 150 KB at once that are read 1 s later        |
      | sends events that the network holds up for 1 s      |

  Scenario: Events that come steadily show that their endpoint lives
    # Guards against a service that loses its restarted endpoints, as nothing
    # shows that they lived.
    Given an endpoint that sends events for 1 s and ends
    When its stream is read to its end
    Then it was seen last at most 0.3 s before that sending

  Scenario: Bytes that come after a pause show nothing until they come steadily
    # Guards against an endpoint that lives by bytes that a cut held up: they
    # come together once the link is whole.
    Given a connection on which bytes arrive from 0 s to 1 s, and from 1.4 s on
    Then its endpoint was seen last at 1.0 s until 1.8 s, and at 2.0 s then

  Scenario: Probes show that the endpoint of a long stream lives
    # Guards against a service that loses its restarted endpoints, as nothing
    # shows that they lived: a stream has only one request.
    Given an endpoint that sends events for 1 s and ends
    When its stream is read to its end while the store is down
    Then it was seen last at most 0.3 s before that sending

  Scenario: In an outage bytes show nothing once probes could be answered
    # Guards against a network that becomes slower little by little, and
    # delivers bytes of an endpoint that has ended.
    Given an endpoint that sends events for 1.5 s, answers no probe and ends
    When its stream is read to its end while the store is down
    Then it was seen last at least 0.7 s before that sending

  Scenario Outline: Probes show nothing of an endpoint that does not answer them
    # Guards against an endpoint that lives by the answer of the next user of
    # its address, or by an answer that tells nothing.
    Given an endpoint with a stream, whose probes are answered <answer>
    When it is probed for 0.6 s while the store is down
    Then nothing shows that it lived

    Examples:
      | answer             |
      | by another one     |
      | with status 503    |
      | without an id      |

  Scenario: Endpoints are probed only in an outage, and only those with streams
    # Guards against probes that tell nothing: the store lists restarted
    # endpoints while it answers.
    Given an endpoint with a stream and one without any
    When they are probed for 0.6 s while the store answers
    Then 0 and 0 probes arrive
    When they are probed for 0.6 s while the store is down
    Then 1 to 4 and 0 probes arrive

  Scenario: Endpoints that ask for fewer requests are not probed
    # Guards against probes beyond what an endpoint in need takes.
    Given an endpoint with a stream that asked for fewer requests and one without any
    When they are probed for 0.6 s while the store is down
    Then 0 and 0 probes arrive

  Scenario: Another endpoint's answer does not show that an endpoint lived
    # Guards against a search that lasts on: the next user of an address
    # answers 421 to a request for the one before it.
    Given an endpoint that answers 421
    When it is called
    Then nothing shows that it lived

  Scenario: An answer shows that its endpoint lived when it was asked
    # Guards against an endpoint that counts as alive since it was sent to.
    Given an endpoint that answers the second request only
    When it is sent two requests
    Then it was seen last when the second one was sent
