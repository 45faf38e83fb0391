Feature: Callers that do not read their streams

  Scenario: Streams that are not read take a bounded part of the memory
    # Guards against 64 KiB of each unread stream that nothing counts, and
    # against callers that lose their streams to those that read nothing.
    Given memory for answers of 300000 bytes
    When 12 callers leave streams of 3000000 bytes unread and 1 reads its stream
    Then the unread bytes of all callers never exceeded 300000 bytes
    And the caller that reads got 3000000 bytes
    And some of the others were given up, and no bytes are held at the end
