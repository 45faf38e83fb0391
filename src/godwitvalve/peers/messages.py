"""Messages between entry instances, and their encoding with tags."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias

import msgpack

MAX_MESSAGE_BYTES = 12 * 1024 * 1024
MAX_FLOODED_BYTES = 64 * 1024
_MAX_ITEMS = 100_000


class MessageError(Exception):
    """A message that cannot be encoded or decoded."""


class Heartbeat(NamedTuple):
    """Shows that the sender is alive and bounds the age of its messages.

    :param timestamp_s: the sender's monotonic time in seconds.
    :param echo_s: the newest timestamp that the sender has received from
        the receiver, or -1.
    """

    timestamp_s: float
    echo_s: float


class HeadAnnounced(NamedTuple):
    """Announces a configuration head.

    :param head: the row as stored.
    """

    revision: int
    head: bytes


class PartsRequest(NamedTuple):
    """Request for parts of the configuration text by content hash."""

    hashes: tuple[str, ...]


class PartsResponse(NamedTuple):
    """Answer to a ``PartsRequest`` with the parts that the sender holds.

    :param parts: pairs of content hash and part.
    """

    parts: tuple[tuple[str, bytes], ...]


class EvidenceReport(NamedTuple):
    """Evidence of one entry about the moves.

    :param report: the encoded evidence.
    """

    origin: str
    incarnation: int
    sequence: int
    report: bytes


class VerdictAnnounced(NamedTuple):
    """Announces the verdict on a move.

    :param row: the row as stored.
    """

    move_id: str
    row: bytes


class DemandReport(NamedTuple):
    """Demand of client accounts at one entry.

    :param report: the encoded demand.
    """

    origin: str
    incarnation: int
    sequence: int
    report: bytes


class MemberFact(NamedTuple):
    """State and addresses of one incarnation of an entry instance."""

    instance_id: str
    incarnation: int
    state: str
    address: str
    peer_address: str
    failure_domain: str


class Freshness(NamedTuple):
    """The revision that an entry read from the store.

    :param age_s: upper bound of the seconds since the entry read it.
    """

    origin: str
    revision: int
    age_s: float


class LastSeenAges(NamedTuple):
    """Revisions known to the sender and when it last saw each entry.

    Each node sends its own to its neighbours, which do not forward it.

    :param revision: revision in force at the sender.
    :param age_s: upper bound of the seconds since the store confirmed it.
    :param transit_s: age of this message; sent as 0 and set by the node
        that receives it.
    :param known_revision: highest revision known to be accepted.
    :param list_digest: digest of the sender's list of entries.
    :param names_requested: whether the sender does not know the receiver's
        list and needs the names of the entries.
    :param order_digest: digest of the list that gives the order of
        ``ages``, or empty if ``names`` gives it.
    :param ages: quantised time since the sender last saw each entry.
    :param names: instance ids of the entries in the order of ``ages``, or
        empty if a list gives the order.
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
    """A call that is forwarded to the incarnation that owns its key."""

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
    """Request to stop forwarding the periodic reports of an origin."""

    origin: str


class RestoreReports(NamedTuple):
    """Request to forward the periodic reports of all origins again."""

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

# Tags are part of the protocol: new ones may be added, none is ever reused.
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
    """Decode msgpack values, with arrays as tuples.

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
        raise MessageError(
            f'invalid msgpack data: {type(error).__name__}'
        ) from error
    except RecursionError as error:
        raise MessageError('msgpack data is nested too deeply') from error


def to_plain(message: Message) -> tuple[Any, ...]:
    """Return the tag and the fields of a message."""
    return (_TAG_OF[type(message)], *message)


def from_plain(plain: Any) -> Message:
    """Return the message for a tag and its fields.

    :raises MessageError: if the tag is unknown, or the number or the types
        of the fields do not match.
    """
    if not isinstance(plain, tuple) or not plain:
        raise MessageError('message is not a tag with fields')
    tag, *fields = plain
    if not isinstance(tag, int) or tag not in TAGS:
        raise MessageError('unknown message tag')
    kind = TAGS[tag]
    expected = _FIELD_TYPES[kind]
    if len(fields) != len(expected):
        raise MessageError(f'{kind.__name__}: unexpected number of fields')
    for value, annotation in zip(fields, expected):
        if not _has_type(value, annotation):
            raise MessageError(f'{kind.__name__}: unexpected type of a field')
    return kind(*fields)


def encode(message: Message) -> bytes:
    """Encode a message without an envelope."""
    packed: bytes = msgpack.packb(to_plain(message))
    return packed


def decode(data: bytes) -> Message:
    """Decode a message without an envelope.

    :raises MessageError: if the bytes are not a valid message.
    """
    return from_plain(unpack_values(data))
