"""HTTP adapter of the engine port."""

from __future__ import annotations

from collections import abc

import aiohttp
import orjson

from godwitvalve.engine import port
from godwitvalve.engine import sse
from godwitvalve.engine import wire
from godwitvalve.parsing import answers
from godwitvalve.parsing import connectors
from godwitvalve.parsing import overhead as overheads
from godwitvalve.routing import endpoint as endpoint_model

MAX_EVENT_BYTES = 256 * 1024
MAX_ANSWER_BYTES = 64 * 1024
# Within one region a connection opens within a few ms. An unreachable host
# never answers, and resuming within 3 s leaves no time for a longer timeout.
CONNECT_TIMEOUT_S = 0.8
ANSWER_TIMEOUT_S = 1.0
_REFUSALS = frozenset(
    ('leaving', 'superseded', 'version_mismatch', 'stream_gone')
)
_STREAM_TIMEOUT = aiohttp.ClientTimeout(
    total=None, sock_connect=CONNECT_TIMEOUT_S
)
_ANSWER_TIMEOUT = aiohttp.ClientTimeout(
    total=ANSWER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
)


def new_session() -> aiohttp.ClientSession:
    """Return a session that opens a new connection for each request.

    A reused connection may be dead without either side knowing. Opening a
    new one costs little compared with a generation, and its outcome tells
    whether the request was sent.
    """
    return connectors.new_session(
        limit=0,
        force_close=True,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )


def new_report_session() -> aiohttp.ClientSession:
    """Return a session that reuses its connections, for load reports.

    Reports are read every second, and opening a connection is most of their
    cost. An unresponsive connection fails a single read and is then closed.
    """
    return connectors.new_session(
        limit=0,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )


async def _refusal_reason(response: aiohttp.ClientResponse) -> str:
    body = await response.content.read(MAX_ANSWER_BYTES)
    try:
        reason = orjson.loads(body)['error']
    except (orjson.JSONDecodeError, KeyError, TypeError, IndexError):
        return 'refused'
    if response.status >= 500 and reason != 'leaving':
        return 'failed'
    return reason if reason in _REFUSALS else 'refused'


def _decode_each(blocks: list[bytes]) -> list[port.EngineEvent]:
    events: list[port.EngineEvent] = []
    for block in blocks:
        if block.startswith(b'data: ') and b'\n' not in block:
            events.append(wire.decode_event(block[6:]))
            continue
        data = sse.parse_block(block).data
        if data:
            events.append(wire.decode_event(data))
    return events


def _merge(events: list[port.EngineEvent]) -> list[port.EngineEvent]:
    return events if len(events) < 2 else wire.merge(events)


def _decode(blocks: list[bytes]) -> list[port.EngineEvent]:
    return _merge(_decode_each(blocks))


class HttpEngine:
    """Client of model engines over HTTP.

    :param session: session made by :func:`new_session`.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    def generate(
        self, endpoint: endpoint_model.Endpoint, order: port.GenerationOrder
    ) -> abc.AsyncGenerator[port.EngineEvent, None]:
        """Start a stream.

        :raises EngineError: if it ends without its final event.
        """
        url = f'http://{endpoint.address}/generate'
        return self._stream(url, wire.order_body(order))

    def resume(
        self,
        endpoint: endpoint_model.Endpoint,
        stream_id: str,
        order: port.GenerationOrder,
    ) -> abc.AsyncGenerator[port.EngineEvent, None]:
        """Continue a stream after the order's prefix.

        Only the length of the prefix is sent, not its tokens.

        :raises EngineError: if the engine no longer has the stream.
        """
        url = f'http://{endpoint.address}/streams/{stream_id}/resume'
        return self._stream(url, wire.resume_body(order))

    async def _stream(
        self, url: str, body: bytes
    ) -> abc.AsyncGenerator[port.EngineEvent, None]:
        try:
            async with self._session.post(
                url, data=body, timeout=_STREAM_TIMEOUT
            ) as response:
                if response.status != 200:
                    reason = await _refusal_reason(response)
                    raise port.EngineError(reason, sent=True)
                splitter = sse.EventSplitter(MAX_EVENT_BYTES)
                overhead = overheads.ParsingOverhead()
                async for piece in answers.pieces(response, overhead):
                    events = _decode_each(splitter.feed(piece))
                    # A sound stream sends short events in a few chunks each.
                    overhead.pay(len(events) * overheads.PARTS_PER_EVENT)
                    for event in _merge(events):
                        yield event
                        if type(event) is port.StreamEnded:
                            return
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise port.EngineError('connect', sent=False) from error
        except (sse.EventTooLarge, wire.MalformedEvent) as error:
            raise port.EngineError('protocol', sent=True) from error
        except wire.ReportedFailure as error:
            raise port.EngineError('failed', sent=True) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise port.EngineError('connection', sent=True) from error
        raise port.EngineError('ended_early', sent=True)

    async def cancel(
        self, endpoint: endpoint_model.Endpoint, stream_id: str
    ) -> None:
        """Cancel a stream; errors are ignored."""
        url = f'http://{endpoint.address}/streams/{stream_id}'
        try:
            async with self._session.delete(url, timeout=_ANSWER_TIMEOUT):
                return
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    async def load(self, endpoint: endpoint_model.Endpoint) -> port.LoadReport:
        """Read the load report.

        :raises EngineError: if no valid report arrives in time.
        """
        url = f'http://{endpoint.address}/load'
        try:
            async with self._session.get(
                url, timeout=_ANSWER_TIMEOUT
            ) as response:
                body = await response.content.read(MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise port.EngineError('load', sent=True) from error
        try:
            return wire.decode_load(body)
        except wire.MalformedEvent as error:
            raise port.EngineError('protocol', sent=True) from error

    async def order(
        self, endpoint: endpoint_model.Endpoint, order: port.EndpointOrder
    ) -> port.OrderOutcome:
        """Send an endpoint the state that it should have."""
        url = f'http://{endpoint.address}/orders'
        body = orjson.dumps(order._asdict())
        try:
            async with self._session.post(
                url, data=body, timeout=_ANSWER_TIMEOUT
            ) as response:
                answer = await response.content.read(MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return port.OrderUnknown(type(error).__name__)
        return wire.decode_order_answer(response.status, answer)
