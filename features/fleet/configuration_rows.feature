Feature: Configurations of two entries that read the same era

  Scenario Outline: The row that the store has later decides
    # Guards against an older configuration of another entry that replaces the
    # one of the first table that was read, as this may be that of a copy.
    Given an entry that read configuration 5 first, as row <own> of era 3
    When another entry has configuration 4 of era 3 as row <other>
    Then the entry has configuration <version> of era <era>

    Examples:
      | own | other   | version | era |
      | 526 | 521     | 5       | 3   |
      | 518 | 521     | 4       | 3   |
      | 526 | unknown | 4       | 3   |

  Scenario: A later row is installed beside the configuration of another entry
    # Guards against an entry that takes what it reads in the first table of an
    # era as older than what another entry gave it.
    Given an entry that read configuration 2 in era 1
    When another entry has configuration 4 of era 3 as row 521
    And the first table of era 3 has configuration 5 as row 526
    Then the entry has configuration 5 of era 3

  Scenario: An unknown row does not hide the known one
    # Guards against an entry that forgets where the store has its
    # configuration, and goes back to an older one.
    Given an entry that read configuration 5 first, as row 526 of era 3
    When another entry has configuration 5 of era 3 as row unknown
    Then the entry has configuration 5 of era 3
    And it reports row 526
