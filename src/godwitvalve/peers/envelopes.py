"""Envelopes, which carry messages between entry instances."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple, TypeAlias

import msgpack

from godwitvalve.peers import messages


class Direct(NamedTuple):
    """A message for the peer at the other end of the link."""

    message: messages.Message


class Spread(enum.IntEnum):
    """Over which overlay links a flooded message is forwarded.

    ``ALL`` uses every link, ``WANTED`` those that the report tree has not
    pruned. ``REFRESH`` uses every link and resets the pruned ones.
    """

    ALL = 0
    WANTED = 1
    REFRESH = 2


class Flooded(NamedTuple):
    """A message for every entry instance.

    :param sequence: number of the message among those of its origin.
    :param age_ms: upper bound of the time since ``origin`` sent it.
    """

    origin: str
    incarnation: int
    sequence: int
    spread: Spread
    age_ms: int
    message: messages.Message


class Request(NamedTuple):
    """A message that is to be answered over the same link."""

    number: int
    message: messages.Message


class Answer(NamedTuple):
    """Answer to the request with this number.

    :param message: None if the peer has no answer.
    """

    number: int
    message: messages.Message | None


Envelope: TypeAlias = Direct | Flooded | Request | Answer

# Each hop increases the age, which may lengthen its encoding.
_AGE_BYTES = 8
_DIRECT, _FLOODED, _REQUEST, _ANSWER = 1, 2, 3, 4


def _plain(envelope: Envelope) -> tuple[Any, ...]:
    body: tuple[Any, ...] | None
    match envelope:
        case Direct(message):
            return (_DIRECT, messages.to_plain(message))
        case Flooded():
            body = messages.to_plain(envelope.message)
            return (
                _FLOODED,
                *envelope[:3],
                int(envelope.spread),
                envelope.age_ms,
                body,
            )
        case Request(number, message):
            return (_REQUEST, number, messages.to_plain(message))
        case Answer(number, answer):
            body = None if answer is None else messages.to_plain(answer)
            return (_ANSWER, number, body)


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope.

    :raises MessageError: if the encoding exceeds the size limit of its kind.
    """
    packed: bytes = msgpack.packb(_plain(envelope))
    limit = messages.MAX_MESSAGE_BYTES
    if isinstance(envelope, Flooded) and envelope.age_ms == 0:
        limit = messages.MAX_FLOODED_BYTES
    if len(packed) > limit:
        raise messages.MessageError(f'message exceeds {limit} bytes')
    return packed


def decode(data: bytes) -> Envelope:
    """Decode an envelope.

    :raises MessageError: if the bytes are not a valid envelope.
    """
    match messages.unpack_values(data):
        case (1, body):
            return Direct(messages.from_plain(body))
        case (2, str(origin), int(inc), int(number), spread, int(age), body):
            if len(data) > messages.MAX_FLOODED_BYTES + _AGE_BYTES:
                raise messages.MessageError(
                    'flooded message exceeds its size limit'
                )
            if age < 0 or number < 0 or spread not in list(Spread):
                raise messages.MessageError(
                    'flooded message has an invalid header'
                )
            message = messages.from_plain(body)
            return Flooded(origin, inc, number, Spread(spread), age, message)
        case (3, int(number), body):
            return Request(number, messages.from_plain(body))
        case (4, int(number), None):
            return Answer(number, None)
        case (4, int(number), body):
            return Answer(number, messages.from_plain(body))
        case _:
            raise messages.MessageError('unknown kind of envelope')
