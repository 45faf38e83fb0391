Feature: Frames between peers

  Scenario: Each message survives its encoding
    # Guards against fields lost or changed on the way.
    Then each type of message is decoded as it was encoded

  Scenario: Random bytes are refused by the codec
    # Guards against an uncaught exception from bytes of the network.
    Then random payloads give a message or a message error

  Scenario: Random and altered frames are refused
    # Guards against forged frames and unbounded buffers.
    Then random and altered frames are refused within bounded memory

  Scenario: Repeated and reordered frames are refused
    # Guards against an old order that is played again.
    Then frames are accepted in their order only

  Scenario: Random hellos are refused
    # Guards against an uncaught exception before authentication.
    Then random hellos give a hello or a handshake error

  Scenario: Proofs cannot be reflected
    # Guards against a peer that proves itself with our own proof.
    Then the proof of one end is refused as the proof of the other
