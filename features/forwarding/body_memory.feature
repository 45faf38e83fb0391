Feature: Memory of request bodies

  Scenario Outline: A burst of long bodies is bounded
    # All bodies of a burst at once exceeded the memory of the machine, and
    # the process was killed with all that it ran.
    Given the memory for bodies of a machine of 150 MB
    When 34 callers send a body of 3900000 bytes <framing> at once
    And each body in memory is sent on after 30 ms
    Then the bodies never took more than 37.5 MB
    And each request was either sent on or refused within 250 ms of waiting
    And at least 9 bodies were sent on

    Examples:
      | framing       |
      | with a length |
      | in chunks     |

  Scenario: Growing bodies do not wait for each other
    # Bodies of unknown length that fill the memory together, and that each
    # need more, would all wait until their callers gave up.
    Given the memory for bodies of a machine of 150 MB
    When 34 bodies grow by 65536 bytes in turn up to 3900000 bytes
    Then the oldest body is complete
    And the bodies never took more than 37.5 MB
    And at most one body waited at a time

  Scenario: Bodies get room in order of arrival
    # A long body must not wait for good while shorter ones pass it.
    Given memory for bodies of 1000000 bytes that one of 700000 bytes uses
    When bodies of 600000, 90000 and 100000 bytes arrive
    Then 3 bodies wait
    When the first body is sent on
    Then the bodies of 600000 and 90000 bytes got room, in this order

  Scenario: Short bodies never wait
    # Most calls are short, and must not wait for a burst of long ones.
    Given memory for bodies of 1000000 bytes that one of 700000 bytes uses
    When bodies of 600000 and 16384 bytes arrive
    Then the body of 16384 bytes got room at once

  Scenario: A body that can never fit is refused at once
    # Its caller would wait for nothing, and hold up all that come after it.
    Given memory for bodies of 1000000 bytes that one of 700000 bytes uses
    When a body of 900000 bytes arrives
    Then it is refused at once

  Scenario: A wait that ends frees the order
    # A caller that left while it waited must not hold up those after it.
    Given memory for bodies of 1000000 bytes that one of 700000 bytes uses
    When bodies of 600000 and 50000 bytes arrive
    And the caller of the body of 600000 bytes leaves
    Then the body of 50000 bytes got room

  Scenario: More memory serves the bodies that wait
    # Settings that change must not leave bodies waiting beside free memory.
    Given memory for bodies of 1000000 bytes that one of 700000 bytes uses
    When a body of 600000 bytes arrives
    And the limit becomes 2000000 bytes
    Then the body of 600000 bytes got room

  Scenario: A growing body that fits is not refused for its next growth
    # A body in chunks must get as much room as one with a length.
    Given free memory for bodies of 1000000 bytes
    When a body grows by 65536 bytes at a time up to 800000 bytes
    Then it is complete

  Scenario: An answer that is read is not lost to answers that nobody reads
    # Callers that read nothing must not cost others their answers.
    Given answers of 3900000 bytes that 4 callers do not read, of at most 18 MB
    When an answer of 6000000 bytes arrives
    Then the oldest of the unread answers is given up

  Scenario Outline: The rest of a body follows an early answer
    # An endpoint may answer before it has read a long body and read on later.
    # It must get the rest of that body, and no other request in its place.
    Given an endpoint that answers 0 bytes into a body of <size> bytes
    When a call is made, and another one after its answer
    Then both calls are answered within 1 s
    And the endpoint gets each body whole

    Examples:
      | size    |
      | 100000  |
      | 8000000 |

  Scenario: A long body is copied only in pieces
    # Each endpoint that reads slowly held one more copy of the whole body.
    Given an endpoint that does not read a body of 8000000 bytes
    When a call is sent to it
    Then its connection buffers at most 131072 bytes and the head

  Scenario: The room of a stalled upload is given to a body that waits
    # Room is reserved by the stated length, also for a caller that stalls.
    Given memory for bodies of 9000000 bytes
    And 2 uploads of 4000000 bytes each with 4 s that send 1 MB and stall at 1 s
    And an upload of 600000 bytes with 4 s that keeps its pace
    When a body of 3900000 bytes asks for room at 1.2 s
    Then it waits, and gets room at 1.3 s
    And the stalled uploads hold what arrived, and the other its whole room

  Scenario: Many bodies that wait look for stalled uploads together
    # Guards against a look at each upload by each body that waits, whose cost
    # grows with the product of both.
    Given memory for bodies of 9000000 bytes
    And 200 uploads of 20000 bytes each that count how often they are judged
    When 300 bodies of 8000000 bytes wait for 0.25 s
    Then each upload is judged at most 6 times

  Scenario: An upload keeps its room after a freeze of the entry
    # Guards against sound uploads that lose their room, and are refused as
    # they go on, because the entry read nothing for a second.
    Given memory for bodies of 9000000 bytes
    And an upload of 4000000 bytes with 4 s that keeps its pace
    And the entry is frozen for 1 s and then reads 65536 bytes of it
    When a body of 8000000 bytes asks for room at 2.35 s
    Then the upload holds its room of 4000000 bytes

  Scenario Outline: Single bytes don't keep the room of an upload
    # Guards against callers that hold the room of a long body by a byte now
    # and then.
    Given memory for bodies of 9000000 bytes
    And an upload of 4000000 bytes with 4 s that sends a byte each <pause> s
    When a body of 8000000 bytes asks for room, for which it waits 0.25 s
    Then the upload holds its room of 16384 bytes and what arrived

    Examples:
      | pause |
      | 0.1   |
      | 0.3   |
      | 0.5   |
      | 0.6   |
