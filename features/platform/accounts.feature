Feature: Names of client accounts

  Scenario Outline: An endpoint gets the name of a client account
    # Guards against an account whose requests all fail, because its name has
    # letters that the encoding of a header lacks.
    Given a configuration with the client account "<name>"
    When a request of it is sent to an endpoint
    Then the endpoint gets the name "<name>" in UTF-8

    Examples:
      | name    |
      | acme    |
      | Zoë     |
      | 東京    |

  Scenario Outline: A name that no header can hold is invalid
    # Guards against a name that adds a header of its own to each request.
    Then a configuration with "<character>" in the name of a client account is invalid

    Examples:
      | character |
      | \r\n      |
      | \n        |
      | \0        |
      | \x7f      |
