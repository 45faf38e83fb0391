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
    # Guards against an endpoint that seems to have lived until an entry that
    # was held up read its last events.
    Given an endpoint that <sends> and ends
    When its stream is read to its end
    Then it was seen last at most 0.3 s after that sending

    Examples:
      | sends                                               |
      | sends events and holds up the event loop for 1 s    |
      | sends 150 KB at once that are read 1 s later        |

  Scenario: Events that come steadily show that their endpoint lives
    # Guards against a service that loses its restarted endpoints, as nothing
    # shows that they lived.
    Given an endpoint that sends events for 1 s and ends
    When its stream is read to its end
    Then it was seen last at most 0.3 s before that sending

  Scenario: An answer shows that its endpoint lived when it was asked
    # Guards against an endpoint that counts as alive since it was sent to.
    Given an endpoint that answers the second request only
    When it is sent two requests
    Then it was seen last when the second one was sent
