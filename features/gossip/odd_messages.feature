Feature: Odd messages and rows of other entries

  Scenario Outline: An odd <message> is dropped
    # Guards against an entry that ends, sends nothing any more or fails its
    # requests because of what another entry, or another writer, sent.
    Given an entry that another entry sends a <message> in which "<field>" is <value>
    When the odd <message> is received
    Then nothing of it is used and the entry goes on

    Examples:
      | message         | field                 | value                   |
      | heartbeat       | more                  | nested deeply           |
      | heartbeat       | peer_address          | '10.0.0.1:70000'        |
      | heartbeat       | peer_address          | 'somewhere:80'          |
      | heartbeat       | peer_address          | '10.0.0.1'              |
      | heartbeat       | caller_address        | '0.0.0.0:80'            |
      | heartbeat       | configuration_version | 2**64 - 1               |
      | heartbeat       | speeds                | {'s': (nan, 1.0, 1.0)}  |
      | heartbeat       | speeds                | {'s': (1.0, inf, 1.0)}  |
      | heartbeat       | provisional           | [endpoint(slots=0)]     |
      | heartbeat       | provisional           | [endpoint(address='x')] |
      | heartbeat       | limits                | [('i', 1, nan, 0)]      |
      | heartbeat       | limits                | [('i', 1, 0.0, 0)]      |
      | permit request  | more                  | nested deeply           |
      | permit request  | requests_per_s        | 0.0                     |
      | permit request  | requests_per_s        | nan                     |
      | permit answer   | wait_ms               | -1                      |
      | permit answer   | wait_ms               | 2**64 - 1               |
      | table           | more                  | nested deeply           |
      | table           | age_ms                | -10**6                  |
      | table           | removals_untrusted_ms | 2**64 - 1               |
      | state           | more                  | nested deeply           |
      | state           | listed                | [endpoint(slots=0)]     |
      | stored sessions | more                  | nested deeply           |
      | stored evidence | more                  | nested deeply           |
      | stored evidence | written_wall_ms       | 10**400                 |
      | stored evidence | age_ms                | 10**400                 |
      | stored record   | more                  | nested deeply           |
      | stored record   | heartbeat             | 10**400                 |
      | stored record   | peer_address          | '10.0.0.1:70000'        |

  Scenario: Old evidence in the store does not stop the heartbeats
    # Guards against a report that the other entries refuse, because the age
    # of a row that they store grows beyond the range of ages.
    Given evidence in the store that is as old as can be stated
    When an entry reports it to others
    Then the others can read the report

  Scenario Outline: An odd number in a request of another entry is refused
    # Guards against exceptions of the control interface.
    Given an entry that relays a table
    When another entry asks for it with "<name>" of <value>
    Then it gets status <status>

    Examples:
      | name    | value          | status |
      | wait_ms | 5000 digits    | 404    |
      | wait_ms | 400 digits     | 404    |
      | wait_ms | a superscript  | 404    |
      | after   | 5000 digits    | 503    |
      | after   | a superscript  | 503    |
