Feature: A store and entries that send bytes without end

  Scenario Outline: A read ends when its source floods it
    # A store or an entry in trouble must not fill the memory of the entry
    # that reads from it, nor keep it from serving requests. A full garbage
    # collection, which takes longer the more an entry knows, stops them too.
    Given a <source> that <how> "<bytes>"
    When a table is read from it
    Then the source counts as unavailable within 2000 ms
    And reading did not delay other requests by more than 120 ms
    And reading caused no full garbage collection
    And reading took at most 24 MiB of memory
    And the connection to the source was closed

    Examples:
      | source | how         | bytes           |
      | store  | floods with | a head          |
      | store  | floods with | many fields     |
      | store  | floods with | interim answers |
      | store  | floods with | a body          |
      | store  | slowly sends| a head          |
      | store  | slowly sends| interim answers |
      | store  | slowly sends| a body          |
      | entry  | floods with | a head          |
      | entry  | floods with | many fields     |
      | entry  | floods with | interim answers |
      | entry  | floods with | a body          |
      | entry  | slowly sends| a body          |

  Scenario Outline: Several reads from a flooding source leave time for calls
    # An entry reads several tables at once and again. Bytes that cost more
    # to parse than they bring must not keep it from answering its callers.
    Given a <source> that floods with "<bytes>"
    When 8 readers read tables from it beside sound calls
    Then each sound call was answered within 500 ms
    And at least 50 % as many calls were made as without them
    And reading did not delay other requests by more than 120 ms
    And reading took at most 24 MiB of memory

    Examples:
      | source | bytes              |
      | store  | a head             |
      | store  | many fields        |
      | store  | interim answers    |
      | store  | a body             |
      | store  | chunks of one byte |
      | store  | chunk extensions   |
      | store  | trailers           |
      | store  | garbage            |
      | entry  | interim answers    |
      | entry  | a body             |
      | entry  | chunks of one byte |

  Scenario: A table in chunks of one byte is read
    # A sound answer must not be given up because its chunks are short.
    Given a store that answers with a table of 50 rows in chunks of one byte
    When a table is read from it
    Then 50 rows were read

  Scenario Outline: A table without end is not read
    # A store in trouble must not make an entry read pages for ever, nor
    # decode so many rows that other requests wait.
    Given a store that answers with "<pages>"
    When a table is read from it
    Then the source counts as unavailable within 2000 ms
    And reading did not delay other requests by more than 120 ms
    And reading took at most 24 MiB of memory

    Examples:
      | pages           |
      | the same page   |
      | pages of keys   |
      | very many rows  |
