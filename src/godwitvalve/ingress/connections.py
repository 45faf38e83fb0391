"""Connections of callers, whose bodies may cost more than they bring."""

from __future__ import annotations

import asyncio
from collections import abc
import time
from typing import TYPE_CHECKING, Any

from aiohttp import web

from godwitvalve.logs import setup as logs
from godwitvalve.parsing import overhead

if TYPE_CHECKING:
    from aiohttp import streams

    from godwitvalve.parsing import throttle as throttles

# Bytes of a read. The smaller one has some 680 chunks of one byte, which take
# about a millisecond to parse.
MIN_READ_BYTES = 4 * 1024
MAX_READ_BYTES = 16 * 1024
# Bytes around the content of a chunk of up to 64 KiB.
CHUNK_FRAMING_BYTES = 8
# Parsed chunks are joined by their reader, which takes about as long again.
READER_COST_FACTOR = 2.0
# The caller of a body that was given up has this long to read its answer, as
# the close resets its connection.
CLOSE_DELAY_S = 0.2
# The rest of a body that was not needed is read for this long, so that callers
# on slow links that send all of it before they read get their answer.
SKIP_LIMIT_S = 10.0
# A body that was not needed is given up after this much content. It is longer
# than any body that configurations usually allow.
MAX_SKIPPED_BYTES = 16 * 1024 * 1024

Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]

_LOG = logs.get('ingress')


class CostlyBody(web.RequestPayloadError):
    """The body was given up, as it costs far more than it brings."""


class CallerConnection(web.RequestHandler, asyncio.BufferedProtocol):
    """Connection that shares one part of the processor with costly others.

    :param manager: server of the connection.
    :param throttle: shared by all messages that are costly to parse.
    :param options: further options of the request handler.
    """

    # Shared by all connections, as received bytes are copied at once.
    _read_buffer = memoryview(bytearray(MAX_READ_BYTES))

    def __init__(
        self,
        manager: web.Server,
        throttle: throttles.ParsingThrottle,
        **options: Any,
    ) -> None:
        super().__init__(manager, lingering_time=SKIP_LIMIT_S, **options)
        self._throttle = throttle
        self._overhead = overhead.ParsingOverhead()
        self._read_bytes = MIN_READ_BYTES
        self._body: streams.StreamReader | None = None
        self._is_needed = True
        self._skippable_bytes = MAX_SKIPPED_BYTES
        self._counted_requests = 0
        # Received and not yet compared with the content they brought.
        self._uncounted_bytes = 0
        self._content_bytes = 0
        self._has_unparsed = False
        self._held = bytearray()
        self._pause: asyncio.TimerHandle | None = None
        self.is_given_up = False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return self._read_buffer[: self._read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes of one read."""
        self.data_received(bytes(self._read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse bytes, or what is left of earlier ones if there are none."""
        if self._close or self._force_close:
            return
        if self._pause is not None:
            self._has_unparsed = True
            self._held += data
            return
        began_s = time.thread_time()
        super().data_received(data)
        cost_s = (time.thread_time() - began_s) * READER_COST_FACTOR
        self._count(len(data))
        if self._overhead.is_excessive or self._skippable_bytes < 0:
            self._give_up()
        elif self._overhead.is_throttled:
            self._pause_for(cost_s)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on reading; called for each chunk, also if it is not paused."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the pause of a connection that has ended."""
        if self._pause is not None:
            self._pause.cancel()
        super().connection_lost(exc)

    def skip(self, body: streams.StreamReader) -> None:
        """Read the rest of a body that is not needed, up to a limit."""
        if body is self._body:
            self._is_needed = False

    def _count(self, size_bytes: int) -> None:
        """Count what a read cost and what it brought."""
        if self._request_count != self._counted_requests:
            self._counted_requests = self._request_count
            if self._messages:
                self._begin(self._messages[-1][1])
                return
        self._uncounted_bytes += size_bytes
        if self._body is None or self._body.is_eof():
            self._overhead.add(1 if size_bytes else 0, 0)
            return
        if self._reading_paused:
            # The parser keeps bytes back until the reader goes on.
            return
        content_bytes = self._body.total_bytes - self._content_bytes
        self._content_bytes += content_bytes
        framing_bytes = max(self._uncounted_bytes - content_bytes, 0)
        is_dense = content_bytes > framing_bytes
        self._read_bytes = MAX_READ_BYTES if is_dense else MIN_READ_BYTES
        self._uncounted_bytes = 0
        self._overhead.add(
            (1 if size_bytes else 0) + framing_bytes / CHUNK_FRAMING_BYTES,
            content_bytes,
        )
        if not self._is_needed:
            self._skippable_bytes -= content_bytes

    def _begin(self, body: streams.StreamReader) -> None:
        """Count a message anew, from the read after that of its head."""
        self._overhead = overhead.ParsingOverhead()
        self._read_bytes = MIN_READ_BYTES
        self._body = body
        self._is_needed = True
        self._skippable_bytes = MAX_SKIPPED_BYTES
        self._uncounted_bytes = 0
        self._content_bytes = body.total_bytes

    def _pause_for(self, cost_s: float) -> None:
        until_s = self._throttle.reserve(self._loop.time(), cost_s)
        self._pause = self._loop.call_at(until_s, self._continue)
        self._pause_transport_reading()

    def _continue(self) -> None:
        self._pause = None
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()
        if self._has_unparsed:
            # The reader went on in between.
            self._has_unparsed = False
            data = bytes(self._held)
            self._held.clear()
            self.data_received(data)

    def _resume_transport_reading(self) -> None:
        if self._pause is None and not self.is_given_up:
            super()._resume_transport_reading()

    def _give_up(self) -> None:
        """Read no more, and end the body for whoever reads it."""
        self.is_given_up = True
        self._pause_transport_reading()
        _LOG.warning(
            'Gave up a costly message of a caller.',
            extra={'peer': str(self.peername)},
        )
        if self._body is None or self._body.is_eof():
            self.force_close()
            return
        if self._is_needed:
            self._body.set_exception(CostlyBody('costly body'))
        # Nothing is left to skip after the answer.
        self._body.feed_eof()
        self.close()


def serving(handler: Handler) -> Handler:
    """Return a handler that ends the connections of costly bodies."""

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        response = await handler(request)
        connection = request.protocol
        if isinstance(connection, CallerConnection):
            connection.skip(request.content)
            if connection.is_given_up:
                await asyncio.sleep(CLOSE_DELAY_S)
        return response

    return serve
