"""Server-sent events for one connection that reads a stream."""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web
import orjson

from standins.engine import faults as engine_faults
from standins.engine import streams
from standins.engine import tokens

HEARTBEAT_INTERVAL_S = 0.2
MAX_EVENT_TOKENS = 256


def _event(body: dict[str, Any]) -> bytes:
    return b'data: ' + orjson.dumps(body) + b'\n\n'


def _started(stream: streams.Stream, first_index: int) -> bytes:
    is_resume = len(stream.attempts) > 1
    return _event(
        {
            'type': 'started',
            'request_id': stream.request_id,
            'attempt': stream.attempt,
            'stream_id': stream.stream_id,
            'version': stream.version,
            'adapter': stream.adapter,
            'seed': stream.seed,
            'first_index': first_index,
            'computed_tokens': 0 if is_resume else stream.prefill_tokens,
        }
    )


def _tokens(
    stream: streams.Stream, attempt: int, first: int, ids: list[int]
) -> bytes:
    return _event(
        {
            'type': 'tokens',
            'request_id': stream.request_id,
            'attempt': attempt,
            'first_index': first,
            'token_ids': ids,
            'pieces': [tokens.piece(token) for token in ids],
        }
    )


def _ended(stream: streams.Stream, attempt: int) -> bytes:
    return _event(
        {
            'type': 'ended',
            'request_id': stream.request_id,
            'attempt': attempt,
            'reason': stream.end_reason,
            'token_count': len(stream.token_ids),
        }
    )


async def send(
    faults: engine_faults.Faults,
    request: web.Request,
    stream: streams.Stream,
    first_index: int,
) -> web.StreamResponse:
    """Send a stream until it ends or a newer attempt resumes it.

    Only a stream that reached its length limit gets an ``ended`` event.
    """
    response = web.StreamResponse(
        headers={'Content-Type': 'text/event-stream'}
    )
    attempt = stream.attempt
    started = _started(stream, first_index)
    stream.readers += 1
    try:
        await response.prepare(request)
        await response.write(started)
        await _send_events(
            faults, request, response, stream, attempt, first_index
        )
        await response.write_eof()
    except ConnectionError:
        # The reader disconnected; the stream continues for a later resume.
        pass
    finally:
        stream.readers -= 1
        stream.unread_since_s = time.monotonic()
    return response


async def _send_events(
    faults: engine_faults.Faults,
    request: web.Request,
    response: web.StreamResponse,
    stream: streams.Stream,
    attempt: int,
    cursor: int,
) -> None:
    initial_end_count = faults.end_early_count
    while stream.attempt == attempt:
        await faults.wait_output_allowed(request.transport)
        if faults.end_early_count != initial_end_count:
            return
        if cursor < len(stream.token_ids):
            ids = stream.token_ids[cursor : cursor + MAX_EVENT_TOKENS]
            await response.write(_tokens(stream, attempt, cursor, ids))
            cursor += len(ids)
        elif stream.end_reason:
            if stream.end_reason == 'length':
                await response.write(_ended(stream, attempt))
            return
        elif not await stream.wait_changed(HEARTBEAT_INTERVAL_S):
            await faults.wait_output_allowed(request.transport)
            await response.write(_event({'type': 'heartbeat'}))
