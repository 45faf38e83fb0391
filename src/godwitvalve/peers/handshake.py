"""Mutual challenge from the shared key, before the first frame.

The initiator sends its hello and a random challenge; the responder end answers
with its own and a proof; the initiator sends its proof. Each proof covers both
challenges, both hellos and the role, so it cannot be reflected or replayed.
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
    """The other end does not know the key or speaks another protocol."""


class Hello(NamedTuple):
    """Who opens or accepts a connection.

    ``is_overlay`` tells whether flooded messages use the connection.
    """

    protocol: int
    instance_id: str
    incarnation: int
    is_overlay: bool
    challenge: bytes


class SessionKeys(NamedTuple):
    """Keys of the two directions of one connection."""

    initiator: bytes
    responder: bytes


def new_hello(instance_id: str, incarnation: int, is_overlay: bool) -> Hello:
    """Return a hello with a fresh challenge."""
    challenge = secrets.token_bytes(CHALLENGE_BYTES)
    return Hello(
        PROTOCOL_VERSION, instance_id, incarnation, is_overlay, challenge
    )


def pack(hello: Hello) -> bytes:
    """Return the bytes of a hello."""
    packed: bytes = msgpack.packb(tuple(hello))
    return packed


def unpack(data: bytes) -> Hello:
    """Return the hello of some bytes.

    :raises HandshakeError: if they are no hello of this protocol.
    """
    try:
        fields: Any = messages.unpack_values(data)
    except messages.MessageError as error:
        raise HandshakeError(str(error)) from error
    match fields:
        case (1, str(), int(), bool(), bytes(challenge)):
            if len(challenge) == CHALLENGE_BYTES:
                return Hello(*fields)
    raise HandshakeError('unknown protocol')


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
    """Return the proof that one end knows the shared key."""
    role = b'caller proof' if is_initiator else b'called proof'
    return _derive(key, role, initiator, responder)


def check_proof(
    proof: bytes,
    key: bytes,
    is_initiator: bool,
    initiator: Hello,
    responder: Hello,
) -> None:
    """Check the proof of the other end.

    :raises HandshakeError: if it does not know the shared key.
    """
    if not hmac.compare_digest(
        proof, prove(key, is_initiator, initiator, responder)
    ):
        raise HandshakeError('the other end has another key')


def session_keys(
    key: bytes, initiator: Hello, responder: Hello
) -> SessionKeys:
    """Return the frame keys of a connection."""
    return SessionKeys(
        _derive(key, b'caller frames', initiator, responder),
        _derive(key, b'called frames', initiator, responder),
    )
