Feature: Frames between peers

  Scenario: Each message survives its encoding
    # Guards against fields that are lost or changed by the codec.
    Then each type of message is decoded as it was encoded

  Scenario: Random bytes are rejected by the codec
    # Guards against malformed input from the network that raises an
    # exception which the link does not handle.
    Then random payloads give a message or a message error

  Scenario: Random and altered frames are rejected
    # Guards against forged frames, and against a buffer that grows without
    # bound while a frame is incomplete.
    Then random and altered frames are rejected within bounded memory

  Scenario: Repeated and reordered frames are rejected
    # Guards against a recorded message that an attacker sends again.
    Then frames are accepted in their order only

  Scenario: Random hellos are rejected
    # Guards against malformed input from an unauthenticated client that
    # raises an exception which the handshake does not handle.
    Then random hellos give a hello or a handshake error

  Scenario: Proofs cannot be reflected
    # Guards against a peer without the key that authenticates with the proof
    # it has received from this end.
    Then the proof of one end is rejected as the proof of the other
