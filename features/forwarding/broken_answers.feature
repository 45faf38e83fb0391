Feature: Repeated refusals, errors within streams and cut heads

  Scenario Outline: A refusal that is repeated on a kept connection
    # Guards against a caller that is told "not run", or a second run, because
    # of a copy of the refusal of an earlier request.
    Given an endpoint that refused an earlier request on a kept connection
    And that answers the next one with "<script>"
    When a <kind> request is sent on that connection
    Then the endpoint got it once and the result is "<result>"

    Examples:
      | script                                    | kind           | result   |
      | the refusal again, then the answer        | non-repeatable | answered |
      | the refusal again, then the answer        | stream         | complete |
      | the refusal again 50 ms later, the answer | non-repeatable | answered |
      | the refusal again 50 ms later, the answer | stream         | complete |
      | the refusal twice, then the answer        | non-repeatable | answered |
      | the refusal three times, then the answer  | non-repeatable | unknown  |
      | the refusal again, then nothing           | non-repeatable | unknown  |
      | the refusal again, then a close           | non-repeatable | unknown  |
      | the refusal without an id, the answer     | non-repeatable | unknown  |
      | the refusal with 429, then a close        | non-repeatable | unknown  |
      | the refusal with 421, then a close        | non-repeatable | unknown  |
      | the refusal without a length, the answer  | non-repeatable | unknown  |
      | the refusal that closes, then the answer  | non-repeatable | answered |
      | the answer, then the refusal again        | non-repeatable | answered |

  Scenario: A refusal that is repeated between two requests ends the connection
    # Guards against a copy that waits for the next request.
    Given an endpoint that refused an earlier request on a kept connection
    And that repeats the refusal before the next request
    When a non-repeatable request is sent on that connection
    Then the endpoint got it once and the result is "answered"

  Scenario Outline: A stream that broke off meets an error at the next endpoint
    # Guards against the text of an error in the middle of a stream, and
    # against one that ends as if it were complete.
    Given a stream that broke off after event 1
    And the next endpoint answers "<error>"
    Then the stream has only events and no end
    And with a third endpoint that is sound it has the events 1 to 3 and the end

    Examples:
      | error                                    |
      | 400 with a text                          |
      | 404 with a text                          |
      | 409 without a length                     |
      | 204                                      |
      | 302 with a text                          |
      | 500 with a text                          |
      | 500 without a length                     |
      | 500 that is cut                          |
      | 500 whose body never ends                |
      | 502 in chunks                            |
      | 503 without proof                        |
      | 503 with proof                           |
      | 421                                      |
      | text that is no answer                   |
      | 200 with a text                          |
      | 200 with a text, without a length        |
      | 200 with the head of an error as its body |

  Scenario Outline: A head that is cut is no answer
    # Guards against a success with an empty or short body.
    Then a call is not answered if the head <head> is cut after any byte by a <end>
    And neither is one on a kept connection
    And a stream has no end

    Examples:
      | head                    | end   |
      | with a length           | close |
      | with a length           | reset |
      | in chunks               | close |
      | in chunks               | reset |
      | without framing         | close |
      | without framing         | reset |
      | after an interim answer | close |
      | after an interim answer | reset |

  Scenario: A success without framing and without a body is no answer
    # Guards against an empty success of an endpoint that ended after the head
    # of its answer.
    Given endpoints that play "unframed empty" and "complete"
    When a non-repeatable call is made
    Then the outcome is unknown

  Scenario: An empty answer that says so is complete
    # Guards against unknown outcomes of calls that have no content to return.
    Given endpoints that play "no content" and "complete"
    When a non-repeatable call is made
    Then the caller gets status 204 without a body

  Scenario: A lookup whose answer ended after its head is repeated
    # Guards against an empty success where another endpoint has the answer.
    Given endpoints that play "unframed empty" and "complete"
    When a repeatable call is made
    Then the caller gets status 200 and the body "fine"

  Scenario Outline: A header that can't be passed on does not end the request
    # Guards against a caller whose connection is closed without an answer, as
    # the server refuses to write a control character.
    When the first endpoint answers a <kind> request with the byte <byte> in a header
    Then its caller gets status <status>

    Examples:
      | kind           | byte | status |
      | non-repeatable | 1    | 502    |
      | non-repeatable | 31   | 502    |
      | non-repeatable | 127  | 502    |
      | non-repeatable | 255  | 200    |
      | repeatable     | 1    | 200    |
      | stream         | 1    | 200    |

  Scenario Outline: A part of an answer to an upload is not the whole answer
    # Guards against a success with a part of the body: an endpoint answered
    # without a length and broke off while the upload was still written.
    Given an endpoint that answers a part without a length and ends by a <end>
    When a <kind> request with a body of <size> bytes is sent to it
    Then its caller gets no whole answer

    Examples:
      | kind           | end   | size    |
      | non-repeatable | reset | 4000000 |
      | non-repeatable | close | 4000000 |
      | non-repeatable | half  | 8000000 |
      | stream         | reset | 4000000 |
      | stream         | close | 4000000 |
      | stream         | half  | 8000000 |

  Scenario Outline: A status that HTTP does not define is no answer
    # Guards against a caller that gets the status 000 of an endpoint in
    # trouble, on its own or in an interim answer.
    When the first endpoint answers a <kind> request with status "<status>"
    Then its caller gets status <result>

    Examples:
      | kind           | status                     | result |
      | non-repeatable | 000                        | 502    |
      | non-repeatable | 099                        | 502    |
      | non-repeatable | 20x                        | 502    |
      | non-repeatable | 600                        | 502    |
      | non-repeatable | 999                        | 502    |
      | non-repeatable | 1000                       | 502    |
      | non-repeatable | 000 in an interim answer   | 502    |
      | repeatable     | 000                        | 200    |
      | repeatable     | 999                        | 200    |
      | stream         | 000                        | 200    |
      | stream         | 600                        | 200    |
      | stream         | 999                        | 200    |
      | stream         | 000 in an interim answer   | 200    |

  Scenario Outline: A success without a signature is no answer
    # Guards against a success that its caller can't count, as one byte of the
    # header's name was spoilt.
    When the first endpoint answers a <kind> request without its signature
    Then its caller gets status <status>
    And what it gets as a success is signed

    Examples:
      | kind           | status |
      | non-repeatable | 502    |
      | repeatable     | 200    |
      | stream         | 200    |
