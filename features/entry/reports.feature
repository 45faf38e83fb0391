Feature: Reports and store reads stay bounded as the number of entries grows

  Scenario: Evidence of services without a move is not sent
    # Guards against reports that grow with the number of services in the
    # text although only moving services need evidence.
    Given evidence of an entry about the services "summaries" and "portal"
    When it reports evidence while only "portal" is moving
    Then the report contains only the evidence about "portal"
    And the report is empty while only "letters" is moving

  Scenario: The entries together read the store at most 100 times a second
    # Guards against reads of the list and the head that exhaust the store,
    # and against intervals so long that a confirmation expires between two
    # reads.
    Then up to 450 entries read the list and the head at most 100 times a second each
    And no number of entries makes an entry read less often than every 4.5 s
    And up to 100 entries read the list each second and the head each 2 s

  Scenario: The status of an entry shows its control traffic
    # Guards against traffic between entries that operators cannot observe.
    Given a small site with 1 engines
    Then the status of each entry shows growing control traffic
