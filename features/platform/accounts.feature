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

  Scenario Outline: A name that no header can hold is sent percent-encoded
    # Guards against a name that adds a header of its own to each request, and
    # against a whole configuration that is refused because of one account.
    Given a configuration with the client account "acme" and one named <name>
    Then both have a valid key, and the other one is named "<sent>" to endpoints

    Examples:
      | name                | sent                    |
      | 'a\r\nTenant: acme' | a%0D%0ATenant%3A%20acme |
      | '\n'                | %0A                     |
      | 'a\0'               | a%00                    |
      | 'a\x7f'             | a%7F                    |
      | 'acme '             | acme%20                 |
      | ' acme'             | %20acme                 |
      | '\t'                | %09                     |

  Scenario Outline: An odd limit of idle connections costs itself alone
    # Guards against a whole configuration that is refused because of a limit
    # that only prolongs the life of connections.
    Given a configuration with the idle limit <limit>
    Then it is valid and its idle limit is <used> s

    Examples:
      | limit  | used |
      | 94000  | 94   |
      | null   | 0    |
      | "15s"  | 0    |
      | 1e300  | 0    |
      | -5     | 0    |
      | [1]    | 0    |

  Scenario Outline: Callers need a key if client accounts are stated
    # Guards against a service that is open to all once the last key, or the
    # last client account, is withdrawn.
    Given a configuration with the client accounts <accounts>
    Then a key is <need>

    Examples:
      | accounts                               | need       |
      | [{"name": "a", "api_keys": ["k"]}]     | needed     |
      | [{"name": "a", "api_keys": []}]        | needed     |
      | [{"name": "a"}]                        | needed     |
      | [{"name": "a", "api_keys": null}]      | needed     |
      | []                                     | needed     |
      | null                                   | not needed |

  Scenario Outline: A caller that sends no key has no client account
    # Guards against a service that is open to all because the list of keys
    # holds an empty text, for which the key of such a caller is taken.
    Given a configuration with the client accounts <accounts>
    Then a key is needed
    And a caller without a key has no client account

    Examples:
      | accounts                                    |
      | [{"name": "a", "api_keys": [""]}]           |
      | [{"name": "a", "api_keys": ["k", ""]}]      |
