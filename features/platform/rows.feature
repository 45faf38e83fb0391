Feature: Odd rows that another writer left in the store

  Scenario Outline: An odd row of an endpoint costs that row alone
    # Guards against entries that end, or fail each request of a service,
    # because of one row among those of the endpoints.
    Given rows of the endpoints "a, b"
    And a row of an endpoint that <what>
    When the table of endpoints is read
    Then "a, b" are the usable endpoints
    When only the changes of the table are read
    Then "a, b" are the usable endpoints

    Examples:
      | what                                   |
      | is nested deeply in an unknown field   |
      | is nested deeply in place of its zone  |
      | states slots of 400 digits             |
      | states slots of 5000 digits            |
      | states slots of 18 digits              |
      | states slots below zero                |
      | states a start of 40 digits            |
      | states a start before 1970             |
      | states a sequence of 400 digits        |
      | states a sequence that is a text       |
      | states the port 70000                  |
      | states the port 0                      |
      | states the port -1                     |
      | states the port " 80"                  |
      | states the port "8_0"                  |
      | states the port "+80"                  |
      | states the port "٨٠"                   |
      | states the port "080"                  |
      | states the port of 5000 digits         |
      | states the host 0.0.0.0                |
      | states the host 255.255.255.255        |
      | states the host 224.0.0.1              |
      | states the host localhost              |
      | states a zone of a million characters  |
      | states a zone that is not UTF-8        |
      | states a zone with half a surrogate    |
      | is empty                               |
      | is not JSON                            |
      | is a list                              |
      | lacks its service                      |
      | lacks its address                      |
      | lacks its zone                         |
      | lacks its version                      |
      | lacks its slots                        |
      | lacks its state                        |
      | lacks its sequence                     |
      | lacks its time to warm up              |
      | has a line break in its id             |
      | has letters of another script in its id|

  Scenario: An endpoint whose time to warm up has passed is used
    # Guards against a range that refuses what endpoints themselves may write.
    Given rows of the endpoints "a, b"
    And a row of an endpoint that has been warm for 3 s
    When the table of endpoints is read
    Then "a, b, odd" are the usable endpoints

  Scenario: An endpoint that does not state its start is used
    # Guards against platforms that do not tell restarts under the same id.
    Given rows of the endpoints "a, b"
    And a row of an endpoint that lacks its start
    When the table of endpoints is read
    Then "a, b, odd" are the usable endpoints

  Scenario: Any bytes are a usable endpoint or an invalid row
    # Guards against errors that a follower of the table does not expect, and
    # against endpoints that can't be chosen, reported or sent to.
    Then any bytes are a usable endpoint or an invalid row

  Scenario: An invalid row is logged once, not at each read
    # Guards against logs that fill up because a table is read again while an
    # odd row stays in it.
    Given rows of the endpoints "a, b"
    And a row of an endpoint that states the port 70000
    When the table of endpoints is read 50 times
    Then the log has 1 line about it with at most 600 characters
    And each line about the read of the table states 1 invalid row

  Scenario: A change that raises does not keep the others from being applied
    # Guards against a table that is no longer followed because one of its
    # rows meets a fault of the entry itself.
    Given rows of the endpoints "a, b, c"
    And an entry that fails to apply "b"
    When only the changes of the table are read
    Then "a, c" are the usable endpoints
    When all endpoints are removed and an exception follows each removal
    Then no endpoint is usable

  Scenario: A roll-out order that raises does not keep the others back
    # Guards against orders that wait for ever behind an odd one.
    Given roll-out orders for "a, b, c"
    When applying the order for "b" raises an exception
    Then the orders for "a, c" are applied

  Scenario: A roll-out that raises does not keep the others from the store
    # Guards against roll-outs whose end is not written because another one
    # meets a fault.
    Given pending roll-outs of "a, b, c" at the writer of their states
    When synchronising "b" raises an exception
    Then "a, c" are synchronised

  Scenario: A record that raises does not keep the others from being merged
    # Guards against entries that do not hear of one another because of one
    # record in a datagram.
    Given a datagram with the records of "a, b, c"
    When applying the record of "b" raises an exception
    Then the records of "a, c" are applied

  Scenario Outline: A row that the store cannot state costs that row alone
    # Guards against a table that cannot be read because the value, the key
    # or the version of one row cannot be decoded.
    Given an answer of the store with the rows "a, b" and one that <what>
    When the answer is decoded
    Then it has the values of "a, b", and <rest>

    Examples:
      | what                             | rest                |
      | has a value that is cut          | an empty value      |
      | has a value in another alphabet  | an empty value      |
      | has a value that is a number     | nothing else        |
      | has a version of 400 digits      | nothing else        |
      | has a version below zero         | nothing else        |
      | has a key that is a number       | nothing else        |
      | has a key that is not UTF-8      | nothing else        |
      | is a text                        | nothing else        |

  Scenario: Any bytes are an answer of the store or count as an outage
    # Guards against errors that a follower of a table does not expect.
    Then any bytes are an answer of the store or count as an outage

  Scenario Outline: An odd <kind> is refused
    # Guards against an entry that ends because of what it reads, and against
    # numbers that cannot be calculated with or sent to other entries.
    When a <kind> in which "<field>" is <value> is decoded
    Then it is refused for a reason of at most 300 characters

    Examples:
      | kind          | field            | value              |
      | configuration | more             | nested deeply      |
      | configuration | version          | a number too large |
      | configuration | version          | below zero         |
      | configuration | routes.priority  | a number too large |
      | configuration | routes.timeout_ms| a number too large |
      | configuration | tenants.name     | not UTF-8          |
      | order         | more             | nested deeply      |
      | order         | duration_s       | a number too large |
      | order         | duration_s       | above 10^300       |
      | order         | to               | not UTF-8          |
      | status        | more             | nested deeply      |
      | status        | order            | a number too large |
      | status        | began_ms         | a number too large |
      | settings file | more             | nested deeply      |
      | settings file | stop_limit_s     | a number too large |
      | settings file | stop_limit_s     | above 10^300       |
      | settings file | memory_mb        | below zero         |
      | settings file | peer_ports.0     | a number too large |
      | settings file | store_address    | in another script  |
      | settings file | instance_id      | not UTF-8          |

  Scenario Outline: Any bytes are a <kind> or are refused
    # Guards against errors that the reader does not expect.
    Then any bytes are a <kind> or are refused

    Examples:
      | kind          |
      | configuration |
      | order         |
      | status        |
      | settings file |
