"""Reads and writes the headers of requests and of endpoints' answers."""

from __future__ import annotations

from collections import abc
import re
from typing import NamedTuple

from godwitvalve.decoding import bounds
from godwitvalve.decoding import content as contents
from godwitvalve.endpoint_limits import statements
from godwitvalve.services import headers as header_rules

RawHeaders = abc.Sequence[tuple[bytes, bytes]]

# Set only by this system; such headers in a caller's request are dropped.
_SYSTEM_REQUEST_HEADERS = frozenset(
    {
        b'api-key',
        b'tenant',
        b'deadline-ms',
        b'expected-instance',
        b'expected-version',
        b'request-priority',
        b'kv-hold',
        b'kv-backup',
        b'kv-from',
        b'kv-fetch',
        b'pin-ms',
        b'last-event-id',
    }
)
_FRAMING_HEADERS = frozenset(
    {name.encode() for name in header_rules.HOP_BY_HOP}
    | {b'content-length', b'expect'}
)
_PRIORITY_LEVELS = 10
# Work never takes a hundred times as long as usual; such a figure is an error.
_MAX_PACE_PERCENT = 10_000
# Status of an endpoint that is not the expected one; the request did not run.
MISDIRECTED = 421
# Callers take these as a promise that the request did not run.
_NOT_RUN_STATUSES = frozenset({408, MISDIRECTED, 429, 503})
_LIMIT_HEADER = b'server-limit'
_DECIMAL = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')
# Bounds what is kept of an invalid limit for the log, and the numbers that
# are read.
MAX_LIMIT_CHARS = 40
# Statuses of endpoints that turn a request away, and may ask for a pause.
_TURNED_AWAY_STATUSES = frozenset({429, 503})
# Bounds the time to weigh a prompt at each endpoint of a service. Sessions
# have one segment a turn.
MAX_SEGMENTS = 32


class PromptSegment(NamedTuple):
    """Part of a prompt that later prompts may begin with, too.

    :param tokens: 0 if not stated.
    """

    segment_id: str
    tokens: int


class CallerFacts(NamedTuple):
    """Contents of the headers of a caller's request.

    :param wait_ms: milliseconds that the caller waits for the answer, or
        None if it states no valid time.
    :param key: API key of the client account.
    :param last_event: id of the last event that the caller received.
    :param prompt_tokens: number of tokens in the prompt; 0 if not stated.
    :param max_output_tokens: 0 if not stated.
    :param session: id of the last segment of the prompt, which is unique
        to the session; empty if not stated.
    :param shared_segments: ids of the segments before the last one.
    :param segments: the first ``MAX_SEGMENTS`` segments with their tokens;
        empty if one has no id or states no tokens.
    :param length_hint: output tokens that the caller expects; 0 if not
        stated.
    """

    request_id: str
    wait_ms: float | None
    key: str
    last_event: int
    prompt_tokens: int
    max_output_tokens: int
    session: str
    shared_segments: tuple[str, ...] = ()
    segments: tuple[PromptSegment, ...] = ()
    length_hint: int = 0


class SendFacts(NamedTuple):
    """Contents of the headers that an endpoint gets for one attempt.

    :param remaining_ms: milliseconds until the deadline.
    :param account: name of the client account; empty if none.
    :param priority: 0 is the most urgent; None omits the header.
    :param last_event: id of the event after which the answer continues; 0
        starts at the beginning.
    :param backup_address: endpoint that stores a backup of the KV cache of
        the request.
    :param memory_source: address and name of the backup from which the
        endpoint continues.
    """

    endpoint_id: str
    remaining_ms: float
    account: str
    priority: int | None = None
    last_event: int = 0
    backup_address: str = ''
    memory_source: str = ''


class EndpointLoad(NamedTuple):
    """Number of requests and of slots at an endpoint when it answered.

    :param pace: how long work took there, 1.0 as usual; None if it states
        no valid pace.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class AnswerFacts(NamedTuple):
    """Contents of the status and headers of an endpoint's answer.

    :param is_not_run: whether the endpoint states that it did not run the
        request.
    :param is_unproven_refusal: whether callers would take the status as "not
        run" although the endpoint does not state that.
    :param is_framed: whether the head tells where the body ends; otherwise
        it ends with the connection.
    :param is_encoded: whether the body has a content encoding and so is not
        the bytes that the endpoint produced.
    :param is_closing: whether the endpoint closes the connection after the
        answer.
    :param idle_limit_s: seconds after which the endpoint closes an idle
        connection, or None if it states none.
    :param limit: requests a second that the endpoint takes from all
        entries.
    :param is_leaving: whether the endpoint states that it leaves.
    :param pause_s: seconds for which the endpoint wants no requests from this
        entry, or None if it states none.
    :param is_unsigned_success: whether it is a success that callers can't
        count, as it lacks the endpoint's signature.
    """

    request_id: str
    is_not_run: bool
    is_unproven_refusal: bool
    is_framed: bool
    is_encoded: bool
    is_closing: bool
    idle_limit_s: float | None
    load: EndpointLoad | None
    limit: statements.LimitStatement
    is_leaving: bool = False
    pause_s: float | None = None
    is_unsigned_success: bool = False


def _decode_headers(headers: RawHeaders) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): value.decode('latin-1').strip()
        for name, value in headers
    }


def _parse_count(text: str) -> int:
    return contents.parse_count(text) or 0


def _parse_milliseconds(text: str | None) -> float | None:
    try:
        value = float(text) if text is not None else None
    except ValueError:
        return None
    return value if value is not None and 0 <= value < 1e9 else None


def read_caller(headers: RawHeaders) -> CallerFacts:
    """Read the headers of a caller's request."""
    values = _decode_headers(headers)
    prompt, _, output = values.get('token-usage', '').partition(',')
    segments = _read_segments(values.get('prompt-prefix', ''))
    *shared, last = [each.segment_id for each in segments]
    return CallerFacts(
        values.get('request-id', ''),
        _parse_milliseconds(values.get('deadline-ms')),
        values.get('api-key', ''),
        _parse_count(values.get('last-event-id', '')),
        _parse_count(prompt.strip()),
        _parse_count(output.strip()),
        last,
        tuple(shared),
        _complete(segments),
        _parse_count(values.get('length-hint', '')),
    )


def parse_segments(parts: str) -> tuple[PromptSegment, ...]:
    """Return the first segments of a prompt with their tokens.

    :param parts: ``ID:TOKENS,...``.
    :returns: nothing if one has no id or states no tokens.
    """
    return _complete(_read_segments(parts))


def _complete(segments: list[PromptSegment]) -> tuple[PromptSegment, ...]:
    return tuple(segments[:MAX_SEGMENTS]) if all(map(all, segments)) else ()


def _read_segments(parts: str) -> list[PromptSegment]:
    pairs = (part.partition(':') for part in parts.split(','))
    return [
        PromptSegment(segment_id.strip(), _parse_count(tokens.strip()))
        for segment_id, _, tokens in pairs
    ]


def _connection_header_names(headers: RawHeaders) -> set[bytes]:
    decoded = (
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in headers
    )
    return {
        name.encode('latin-1')
        for name in header_rules.named_by_connection(decoded)
    }


def _system_headers(facts: SendFacts) -> abc.Iterator[tuple[str, str]]:
    yield 'Expected-Instance', facts.endpoint_id
    yield 'Deadline-Ms', str(max(int(facts.remaining_ms), 1))
    if facts.account:
        yield 'Tenant', facts.account
    if facts.priority is not None:
        yield (
            'Request-Priority',
            str(min(max(facts.priority, 0), _PRIORITY_LEVELS - 1)),
        )
    if facts.last_event or facts.memory_source:
        yield 'Last-Event-Id', str(facts.last_event)
    if facts.backup_address:
        yield 'Kv-Backup', facts.backup_address
    if facts.memory_source:
        yield 'Kv-From', facts.memory_source


def to_endpoint(
    headers: RawHeaders, facts: SendFacts, body_bytes: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers of the request to an endpoint.

    :param headers: headers of the caller's request.
    :param body_bytes: length of the body in bytes.
    """
    dropped = (
        _connection_header_names(headers)
        | _SYSTEM_REQUEST_HEADERS
        | _FRAMING_HEADERS
    )
    forwarded = [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]
    added = [
        (name.encode(), value.encode())
        for name, value in _system_headers(facts)
    ]
    had_length = any(
        name.lower() in (b'content-length', b'transfer-encoding')
        for name, _ in headers
    )
    if body_bytes or had_length:
        added.append((b'Content-Length', str(body_bytes).encode()))
    return forwarded + added


def to_caller(headers: RawHeaders) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's answer to pass on to the caller."""
    dropped = _connection_header_names(headers) | _FRAMING_HEADERS
    return [
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in headers
        if name.lower() not in dropped
    ]


def _parse_idle_limit_s(keep_alive: str) -> float | None:
    for item in keep_alive.split(','):
        name, _, value = item.strip().partition('=')
        if name.lower() == 'timeout':
            return contents.parse_count(value)
    return None


def _read_pace(percent: int | None) -> float | None:
    if percent is None or not 0 < percent <= _MAX_PACE_PERCENT:
        return None
    return percent / 100


def _parse_load(text: str) -> EndpointLoad | None:
    match [contents.parse_count(each.strip()) for each in text.split(',')]:
        case [int(running), int(waiting), int(slots)]:
            return EndpointLoad(running, waiting, slots)
        case [int(running), int(waiting), int(slots), pace]:
            return EndpointLoad(running, waiting, slots, _read_pace(pace))
        case _:
            return None


def _read_limit(headers: RawHeaders) -> statements.LimitStatement:
    """Return the stated limit; of several numbers the lowest."""
    stated = [
        value.decode('latin-1')
        for name, value in headers
        if name.lower() == _LIMIT_HEADER
    ]
    if not stated:
        return statements.Unlimited()
    numbers = [
        float(text)
        for text in map(str.strip, ','.join(stated).split(','))
        if len(text) <= MAX_LIMIT_CHARS and _DECIMAL.fullmatch(text)
    ]
    if not numbers:
        return statements.Unreadable(','.join(stated)[:MAX_LIMIT_CHARS])
    return statements.Limited(min(numbers))


def _is_leaving(values: abc.Mapping[str, str]) -> bool:
    return values.get('server-leaving') == '1'


def _read_pause_s(status: int, text: str) -> float | None:
    is_stated = (
        status in _TURNED_AWAY_STATUSES
        and len(text) <= MAX_LIMIT_CHARS
        and _DECIMAL.fullmatch(text)
    )
    return float(text) if is_stated else None


def read_identity(headers: RawHeaders) -> str:
    """Return the id of the endpoint that answered; empty if not usable."""
    values = _decode_headers(headers)
    identity = values.get('instance-id', '')
    is_usable = bounds.IDENTIFIER.match(identity) and not _is_leaving(values)
    return identity if is_usable else ''


def read_answer(status: int, headers: RawHeaders) -> AnswerFacts:
    """Read the status and headers of an endpoint's answer."""
    values = _decode_headers(headers)
    is_not_run = 'not-executed' in values or status == MISDIRECTED
    return AnswerFacts(
        values.get('request-id', ''),
        is_not_run,
        status in _NOT_RUN_STATUSES and not is_not_run,
        'content-length' in values or 'transfer-encoding' in values,
        'content-encoding' in values,
        'close' in values.get('connection', '').lower(),
        _parse_idle_limit_s(values.get('keep-alive', '')),
        _parse_load(values.get('server-load', '')),
        _read_limit(headers),
        _is_leaving(values),
        _read_pause_s(status, values.get('retry-after', '')),
        200 <= status < 300 and not values.get('response-signature'),
    )
