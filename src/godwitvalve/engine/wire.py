"""JSON bodies and events of the engine's HTTP interface."""

from __future__ import annotations

from collections import abc
import itertools
from typing import Any, cast

import orjson

from godwitvalve.engine import port

MAX_TOKEN_ID = 2**32 - 1
# A resume id stores an index in four bytes.
MAX_INDEX = 2**32 - 1
MAX_TEXT_CHARACTERS = 256
_ONLY_INT = {int}
_ONLY_STR = {str}


class MalformedEvent(Exception):
    """A body or event from an engine is malformed."""


class ReportedFailure(Exception):
    """The engine ended the stream with a failure event."""


def _object(data: bytes) -> dict[str, Any]:
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise MalformedEvent('json') from error
    if type(body) is not dict:
        raise MalformedEvent('json')
    return body


def _integer(body: dict[str, Any], name: str, limit: int = MAX_INDEX) -> int:
    value = body.get(name)
    if type(value) is not int or not 0 <= value <= limit:
        raise MalformedEvent(name)
    return value


def _text(body: dict[str, Any], name: str) -> str:
    value = body.get(name)
    if type(value) is not str or len(value) > MAX_TEXT_CHARACTERS:
        raise MalformedEvent(name)
    return value


def _tokens(body: dict[str, Any]) -> port.Tokens:
    token_ids = body.get('token_ids')
    pieces = body.get('pieces')
    if type(token_ids) is not list or type(pieces) is not list:
        raise MalformedEvent('token_ids')
    if not token_ids or len(token_ids) != len(pieces):
        raise MalformedEvent('token_ids')
    # Runs for every token: checking the list at once is cheaper than a loop.
    if set(map(type, token_ids)) != _ONLY_INT:
        raise MalformedEvent('token_ids')
    if min(token_ids) < 0 or max(token_ids) > MAX_TOKEN_ID:
        raise MalformedEvent('token_ids')
    if set(map(type, pieces)) != _ONLY_STR:
        raise MalformedEvent('pieces')
    return port.Tokens(
        _text(body, 'request_id'),
        _integer(body, 'attempt'),
        _integer(body, 'first_index'),
        tuple(token_ids),
        tuple(pieces),
    )


def _started(body: dict[str, Any]) -> port.StreamStarted:
    return port.StreamStarted(
        _text(body, 'request_id'),
        _integer(body, 'attempt'),
        _text(body, 'stream_id'),
        _text(body, 'version'),
        _text(body, 'adapter'),
        _integer(body, 'seed', 2**63 - 1),
        _integer(body, 'first_index'),
        _integer(body, 'computed_tokens'),
    )


def decode_event(data: bytes) -> port.EngineEvent:
    """Decode the event in a data field.

    :raises MalformedEvent: if a field is missing or invalid.
    :raises ReportedFailure: if the engine reports a failure.
    """
    body = _object(data)
    match body.get('type'):
        case 'tokens':
            return _tokens(body)
        case 'heartbeat':
            return port.Heartbeat()
        case 'started':
            return _started(body)
        case 'ended':
            return port.StreamEnded(
                _text(body, 'request_id'),
                _integer(body, 'attempt'),
                _text(body, 'reason'),
                _integer(body, 'token_count'),
            )
        case 'failed':
            raise ReportedFailure()
    raise MalformedEvent('type')


def merge(events: abc.Iterable[port.EngineEvent]) -> list[port.EngineEvent]:
    """Merge consecutive token events of one attempt."""
    merged: list[port.EngineEvent] = []
    consecutive: list[port.Tokens] = []
    end = 0
    for event in events:
        if type(event) is not port.Tokens:
            merged += _merge_tokens(consecutive)
            merged.append(event)
            consecutive = []
            continue
        if consecutive and not (
            event.first_index == end
            and event.attempt == consecutive[0].attempt
            and event.request_id == consecutive[0].request_id
        ):
            merged += _merge_tokens(consecutive)
            consecutive = []
        consecutive.append(event)
        end = event.first_index + len(event.token_ids)
    return merged + _merge_tokens(consecutive)


def _merge_tokens(consecutive: list[port.Tokens]) -> list[port.EngineEvent]:
    if len(consecutive) < 2:
        return [*consecutive]
    first = consecutive[0]
    chain = itertools.chain.from_iterable
    return [
        port.Tokens(
            first.request_id,
            first.attempt,
            first.first_index,
            tuple(chain(event.token_ids for event in consecutive)),
            tuple(chain(event.pieces for event in consecutive)),
        )
    ]


def order_body(order: port.GenerationOrder) -> bytes:
    """Return the JSON body that starts a stream."""
    return orjson.dumps(order._asdict())


def resume_body(order: port.GenerationOrder) -> bytes:
    """Return the JSON body that continues a stream."""
    return orjson.dumps(
        {
            'request_id': order.request_id,
            'attempt': order.attempt,
            'first_index': len(order.prefix_token_ids),
        }
    )


def decode_load(data: bytes) -> port.LoadReport:
    """Decode a load report.

    :raises MalformedEvent: if a field is missing or invalid.
    """
    body = _object(data)
    measured_wall_s = body.get('measured_wall_s')
    if type(measured_wall_s) not in (int, float):
        raise MalformedEvent('measured_wall_s')
    state = body.get('state')
    if state != 'live' and state != 'leaving':
        raise MalformedEvent('state')
    return port.LoadReport(
        _integer(body, 'queue_length'),
        _integer(body, 'running'),
        'live' if state == 'live' else 'leaving',
        _text(body, 'version'),
        float(cast(float, measured_wall_s)),
    )


def decode_order_answer(status: int, data: bytes) -> port.OrderOutcome:
    """Decode the answer to an endpoint order."""
    if status == 200:
        return port.OrderAccepted()
    if status == 409:
        try:
            newest = _integer(_object(data), 'newest_fencing_number', 2**63)
        except MalformedEvent:
            return port.OrderUnknown('protocol')
        return port.OrderRefused(newest)
    return port.OrderUnknown(f'status {status}')
