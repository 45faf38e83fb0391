Feature: Odd numbers in the headers and events of callers and endpoints

  Scenario Outline: An odd number does not fail a request
    # Guards against a request that ends by an exception of the entry, as for
    # thousands of digits or digits of another script.
    Given the header "<header>" of <sender> with the number <number>
    When the headers are read
    Then the number counts as not stated

    Examples:
      | sender      | header        | number             |
      | a caller    | Last-Event-Id | of 5000 digits     |
      | a caller    | Last-Event-Id | in superscript     |
      | a caller    | Token-Usage   | of 5000 digits     |
      | a caller    | Token-Usage   | in superscript     |
      | a caller    | Deadline-Ms   | of 5000 digits     |
      | a caller    | Deadline-Ms   | that is not finite |
      | an endpoint | Server-Load   | of 5000 digits     |
      | an endpoint | Server-Load   | in superscript     |
      | an endpoint | Server-Load   | of 400 digits      |
      | an endpoint | Server-Load   | below zero         |
      | an endpoint | Keep-Alive    | of 5000 digits     |
      | an endpoint | Keep-Alive    | in superscript     |
      | an endpoint | Keep-Alive    | of 400 digits      |

  Scenario: An event whose id is too long damages its stream only
    # Guards against a stream that ends by an exception of the entry.
    Given a stream of an endpoint with an event id of 5000 digits
    When the event arrives
    Then the stream counts as damaged

  Scenario Outline: An odd id of an endpoint is not used
    # Guards against an id that cannot be sent in a header, or that the other
    # entries refuse together with the heartbeat that reports it.
    When an endpoint states an id that <what>
    Then its id counts as not stated

    Examples:
      | what                             |
      | is in another alphabet           |
      | has a space                      |
      | has 5000 characters              |

  Scenario: Any headers can be read
    # Guards against exceptions that a request does not expect.
    Then any headers of callers and endpoints can be read
