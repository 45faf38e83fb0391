Feature: Rows that an older copy of a table cannot have

  Scenario Outline: A row of a restored store
    # Guards against a change written before the first read that is taken for
    # that of the copy, and against going back to a row of the copy.
    Given a table that was read first at version 20 with "x=1" of version 10
    And nothing changed up to version 40
    And "x=2" of version 60 was read
    And nothing changed up to version 80
    Then a copy of it <answer> have "<row>" of version <version>

    Examples: Rows that were read
      | row | version | answer |
      | x=1 | 10      | may    |
      | x=2 | 60      | may    |

    Examples: Rows of versions at which another one was current
      | row | version | answer |
      | x=9 | 10      | cannot |
      | x=9 | 11      | cannot |
      | x=9 | 40      | cannot |
      | x=9 | 60      | cannot |
      | x=9 | 80      | cannot |
      | y=9 | 20      | cannot |
      | y=9 | 80      | cannot |

    Examples: Rows of versions that were not read
      | row | version | answer |
      | x=9 | 9       | may    |
      | x=9 | 41      | may    |
      | x=9 | 59      | may    |
      | x=9 | 81      | may    |
      | y=9 | 19      | may    |
      | y=9 | 81      | may    |

  Scenario Outline: A row that was removed
    # Guards against a row that is taken for that of the copy after its
    # removal was read.
    Given a table that was read first at version 20 with "x=1" of version 10
    And the removal of "x" was read <way> at version 30
    And nothing changed up to version 40
    Then a copy of it may have "x=1" of version 10
    And a copy of it <answer> have "x=9" of version <version>

    Examples:
      | way               | version | answer |
      | as a change       | 35      | cannot |
      | as a change       | 41      | may    |
      | in a second table | 35      | cannot |
      | in a second table | 25      | may    |

  Scenario: Many changes of a row
    # Guards against memory that grows with each change.
    Given a table that was read first at version 20 with "x=1" of version 10
    And "x" changes 1000 times, 10 versions apart
    Then at most 32 earlier rows are kept
    And a copy of it cannot have "x=9" of version 10015
    And a copy of it may have "x=9" of version 25
