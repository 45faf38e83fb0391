"""Mutual authentication by a shared key, before the first frame.

The initiator sends its hello, which contains a random challenge. The responder
answers with its own hello and a proof, and the initiator sends its proof. Each
proof covers both hellos with their challenges and the role of the prover, so
it can be neither reflected nor replayed.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import Any, NamedTuple

import msgpack

from godwitvalve.peers import messages

PROTOCOL_VERSION = 1
CHALLENGE_BYTES = 16
PROOF_BYTES = 32
MAX_HELLO_BYTES = 512
_PERSONALIZATION = b'gw-peer-hello'


class HandshakeError(Exception):
    """The peer does not prove the key or uses another protocol version."""


class Hello(NamedTuple):
    """Identity of one end of a connection.

    :param is_overlay: whether the connection carries flooded messages.
    :param challenge: random bytes that the proofs of both ends cover.
    """

    protocol: int
    instance_id: str
    incarnation: int
    is_overlay: bool
    challenge: bytes


class SessionKeys(NamedTuple):
    """Frame keys of a connection, by the end that sends the frames."""

    initiator: bytes
    responder: bytes


def new_hello(instance_id: str, incarnation: int, is_overlay: bool) -> Hello:
    """Return a hello with a fresh challenge."""
    challenge = secrets.token_bytes(CHALLENGE_BYTES)
    return Hello(
        PROTOCOL_VERSION, instance_id, incarnation, is_overlay, challenge
    )


def pack(hello: Hello) -> bytes:
    """Encode a hello."""
    packed: bytes = msgpack.packb(tuple(hello))
    return packed


def unpack(data: bytes) -> Hello:
    """Decode a hello.

    :raises HandshakeError: if the bytes are not a hello of this protocol
        version.
    """
    try:
        fields: Any = messages.unpack_values(data)
    except messages.MessageError as error:
        raise HandshakeError(str(error)) from error
    match fields:
        case (1, str(), int(), bool(), bytes(challenge)):
            if len(challenge) == CHALLENGE_BYTES:
                return Hello(*fields)
    raise HandshakeError('not a hello of this protocol version')


def _derive(
    key: bytes, role: bytes, initiator: Hello, responder: Hello
) -> bytes:
    digest = hashlib.blake2b(
        key=hashlib.blake2b(key).digest(),
        digest_size=PROOF_BYTES,
        person=_PERSONALIZATION,
    )
    for part in (role, pack(initiator), pack(responder)):
        digest.update(len(part).to_bytes(4, 'big') + part)
    return digest.digest()


def prove(
    key: bytes, is_initiator: bool, initiator: Hello, responder: Hello
) -> bytes:
    """Return the proof of one end that it knows the shared key."""
    role = b'caller proof' if is_initiator else b'called proof'
    return _derive(key, role, initiator, responder)


def check_proof(
    proof: bytes,
    key: bytes,
    is_initiator: bool,
    initiator: Hello,
    responder: Hello,
) -> None:
    """Check the proof that the peer sent.

    :param is_initiator: whether the peer is the initiator.
    :raises HandshakeError: if the proof does not match the shared key.
    """
    if not hmac.compare_digest(
        proof, prove(key, is_initiator, initiator, responder)
    ):
        raise HandshakeError('proof of the peer does not match the shared key')


def session_keys(
    key: bytes, initiator: Hello, responder: Hello
) -> SessionKeys:
    """Derive the frame keys of a connection."""
    return SessionKeys(
        _derive(key, b'caller frames', initiator, responder),
        _derive(key, b'called frames', initiator, responder),
    )
