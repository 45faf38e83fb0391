Feature: Configurations in random histories of the store and the entries

  Returns of the store from older copies, restarts of entries, whole tables,
  changes and configurations of other entries follow one another at random.

  Scenario: No entry goes back while versions rise
    # Guards against a configuration of the copy that replaces a newer one, and
    # against the newest one that is refused because another entry has one
    # that seems to be of a later era.
    Given 400 histories with an operator who raises the version each time
    Then no entry went back to an older configuration
    And all entries have the newest configuration at the end

  Scenario Outline: The eras of two configurations
    # Guards against comparing eras that are not known to differ.
    Then version <first> of the eras <eras> is <order> version <second> of the eras <others>

    Examples:
      | first | eras | order          | second | others |
      | 10    | 0-2  | older than     | 11     | 0-1    |
      | 10    | 0-2  | older than     | 11     | 1-1    |
      | 17    | 2-2  | older than     | 22     | 0-2    |
      | 17    | 2-2  | newer than     | 22     | 1-1    |
      | 17    | 2-2  | newer than     | 17     | 0-1    |
      | 17    | 0-2  | not newer than | 17     | 1-1    |
      | 18    | 0-0  | newer than     | 17     | 0-0    |

  Scenario: Three configurations that each supersede another one
    # Guards against entries that read one after the other without end.
    Then an entry at revision "0-2.50" reads from "e1" of "2.17, 1.100"
    And an entry that replaced "0-2.50" by "1.100" does not install "0-2.50" of another entry
