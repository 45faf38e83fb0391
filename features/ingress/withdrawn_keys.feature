Feature: Callers after keys of client accounts were withdrawn

  Scenario Outline: No caller is served once the last key is withdrawn: <case>
    # Guards against an entry that serves every caller, with any key or none,
    # once no client account holds a key any more.
    Given stream endpoints that play "head 1 end" and "head 1 end"
    When the configuration states the client accounts <accounts>
    Then a caller with <key> gets status 401 and no endpoint gets its request

    Examples:
      | case              | accounts                                  | key           |
      | the withdrawn key | [{"name": "acme", "api_keys": []}]        | "k-1"         |
      | another key       | [{"name": "acme", "api_keys": []}]        | "never"       |
      | no key            | [{"name": "acme", "api_keys": []}]        | no key        |
      | an empty key      | [{"name": "acme", "api_keys": [""]}]      | an empty key  |
      | empty, no key     | [{"name": "acme", "api_keys": [""]}]      | no key        |
      | no list of keys   | [{"name": "acme", "api_keys": null}]      | "k-1"         |
      | no accounts       | []                                        | "k-1"         |

  Scenario: A key that moves to another account is served for that one
    # Shows that the scenario above does not refuse callers with a valid key.
    Given stream endpoints that play "head 1 end" and "head 1 end"
    When the configuration states the client accounts [{"name": "b", "api_keys": ["k-1"]}]
    Then a caller with "k-1" gets status 200 and an endpoint serves "b"
