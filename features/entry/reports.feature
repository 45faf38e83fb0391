Feature: Reports and reads stay bounded with the number of entries

  Scenario: Evidence of services without a move is not sent
    # Guards against reports that grow with all services of the text.
    Given evidence of an entry about the services "summaries" and "portal"
    When it reports to the others with a move of "portal" alone
    Then the report holds the evidence about "portal" alone
    And with a move of "letters" alone the report is empty

  Scenario: The entries together read the store at most 100 times a second
    # Guards against reads of the list and the head that use up the store,
    # and against intervals that let a confirmation lapse between two reads.
    Then up to 450 entries read the list and the head at most 100 times a second each
    And no number of entries makes an entry read less often than every 4.5 s
    And up to 100 entries read the list each second and the head each 2 s

  Scenario: An entry tells its control traffic
    # Guards against traffic between entries that no one can see.
    Given a small site with 1 engines
    Then the status of each entry shows growing control traffic
