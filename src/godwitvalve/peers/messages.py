"""Messages between entry instances and their numbered codec."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias

import msgpack

MAX_MESSAGE_BYTES = 12 * 1024 * 1024
MAX_FLOODED_BYTES = 64 * 1024
_MAX_ITEMS = 100_000


class MessageError(Exception):
    """Bytes that are no message."""


class Heartbeat(NamedTuple):
    """Sign of life that lets the receiver bound the age of messages.

    ``timestamp_s`` is the sender's monotonic time; ``echo_s`` is the newest
    stamp that the sender had received from the receiver, or -1.
    """

    timestamp_s: float
    echo_s: float


class HeadAnnounced(NamedTuple):
    """A configuration head; ``head`` holds the row as stored."""

    revision: int
    head: bytes


class PartsRequest(NamedTuple):
    """Request for parts of the text by content hash."""

    hashes: tuple[str, ...]


class PartsResponse(NamedTuple):
    """Parts of the text; those not held are left out."""

    parts: tuple[tuple[str, bytes], ...]


class EvidenceReport(NamedTuple):
    """Evidence of one entry about the moves; ``report`` is its encoding."""

    origin: str
    incarnation: int
    sequence: int
    report: bytes


class VerdictAnnounced(NamedTuple):
    """Verdict on a move; ``row`` is the row as stored."""

    move_id: str
    row: bytes


class DemandReport(NamedTuple):
    """Demand of client accounts at one entry, as encoded by its sender."""

    origin: str
    incarnation: int
    sequence: int
    report: bytes


class MemberFact(NamedTuple):
    """What is known of one incarnation of an entry instance."""

    instance_id: str
    incarnation: int
    state: str
    address: str
    peer_address: str
    failure_domain: str


class Freshness(NamedTuple):
    """An entry read the head this many seconds ago, at most."""

    origin: str
    revision: int
    age_s: float


class LastSeenAges(NamedTuple):
    """What a neighbour knows of revisions and has heard of all entries.

    It is sent to neighbours only, and each sends its own.

    :param revision: revision in force at the sender.
    :param age_s: seconds since the store confirmed it, at most.
    :param transit_s: age of this message; 0 when sent, and set by the node
        that receives it.
    :param known_revision: highest revision known to be accepted.
    :param list_digest: digest of the entries that the sender lists.
    :param names_requested: the sender does not know the receiver's list.
    :param order_digest: digest of the list that ``ages`` follows, or empty
        if it follows ``names``.
    :param ages: steps of time since the sender heard of each entry.
    """

    revision: int
    age_s: float
    transit_s: float
    known_revision: int
    list_digest: bytes
    names_requested: bool
    order_digest: bytes
    ages: bytes
    names: tuple[str, ...]


class ForwardCall(NamedTuple):
    """A call whose key belongs to the receiving incarnation."""

    owner_incarnation: int
    client_account: str
    key: str
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_wall_s: float


class ForwardAnswer(NamedTuple):
    """Outcome of a forwarded call, encoded by ``outcome_codec``."""

    outcome: bytes
    replayed: bool


class PruneReports(NamedTuple):
    """Request to leave out the periodic reports of an origin."""

    origin: str


class RestoreReports(NamedTuple):
    """Request for the periodic reports of all origins."""

    wanted: bool = True


Message: TypeAlias = (
    Heartbeat
    | HeadAnnounced
    | PartsRequest
    | PartsResponse
    | EvidenceReport
    | VerdictAnnounced
    | DemandReport
    | MemberFact
    | Freshness
    | LastSeenAges
    | ForwardCall
    | ForwardAnswer
    | PruneReports
    | RestoreReports
)

# Tags are part of the protocol: they are added, never reused.
TAGS: dict[int, type[Message]] = {
    1: Heartbeat,
    2: HeadAnnounced,
    3: PartsRequest,
    4: PartsResponse,
    5: EvidenceReport,
    6: VerdictAnnounced,
    7: DemandReport,
    8: MemberFact,
    9: Freshness,
    10: ForwardCall,
    11: ForwardAnswer,
    12: PruneReports,
    13: RestoreReports,
    14: LastSeenAges,
}
_TAG_OF = {kind: tag for tag, kind in TAGS.items()}


def _is_strings(value: Any) -> bool:
    return isinstance(value, tuple) and all(isinstance(v, str) for v in value)


def _is_pairs(value: Any, second: type) -> bool:
    return isinstance(value, tuple) and all(
        isinstance(pair, tuple)
        and len(pair) == 2
        and isinstance(pair[0], str)
        and isinstance(pair[1], second)
        for pair in value
    )


def _has_type(value: Any, annotation: str) -> bool:
    match annotation:
        case 'str':
            return isinstance(value, str)
        case 'bytes':
            return isinstance(value, bytes)
        case 'bool':
            return isinstance(value, bool)
        case 'int':
            return isinstance(value, int) and not isinstance(value, bool)
        case 'float':
            return isinstance(value, float) and value == value
        case 'tuple[str, ...]':
            return _is_strings(value)
        case 'tuple[tuple[str, str], ...]':
            return _is_pairs(value, str)
        case 'tuple[tuple[str, bytes], ...]':
            return _is_pairs(value, bytes)
        case _:
            raise TypeError(f'no check for a field of type {annotation}')


def _annotations(kind: type[Message]) -> list[str]:
    return [
        getattr(each, '__forward_arg__', str(each))
        for each in kind.__annotations__.values()
    ]


_FIELD_TYPES = {kind: _annotations(kind) for kind in TAGS.values()}


def unpack_values(data: bytes) -> Any:
    """Return msgpack values, with arrays as tuples.

    :raises MessageError: if the bytes are malformed.
    """
    try:
        return msgpack.unpackb(
            data,
            use_list=False,
            max_array_len=_MAX_ITEMS,
            max_map_len=0,
            max_ext_len=0,
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MessageError(f'not msgpack: {type(error).__name__}') from error
    except RecursionError as error:
        raise MessageError('nested too deeply') from error


def to_plain(message: Message) -> tuple[Any, ...]:
    """Return the tag and the fields of a message."""
    return (_TAG_OF[type(message)], *message)


def from_plain(plain: Any) -> Message:
    """Return the message of a tag and its fields.

    :raises MessageError: if a field is missing or has another type.
    """
    if not isinstance(plain, tuple) or not plain:
        raise MessageError('not a message')
    tag, *fields = plain
    if not isinstance(tag, int) or tag not in TAGS:
        raise MessageError('unknown tag')
    kind = TAGS[tag]
    expected = _FIELD_TYPES[kind]
    if len(fields) != len(expected):
        raise MessageError(f'{kind.__name__}: wrong number of fields')
    for value, annotation in zip(fields, expected):
        if not _has_type(value, annotation):
            raise MessageError(f'{kind.__name__}: wrong type of field')
    return kind(*fields)


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    packed: bytes = msgpack.packb(to_plain(message))
    return packed


def decode(data: bytes) -> Message:
    """Return the message of some bytes.

    :raises MessageError: if they are no message.
    """
    return from_plain(unpack_values(data))
