"""One HTTP/1.1 connection to an endpoint."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import h11

from godwitvalve.forwarding import sockets

# Above this many buffered bytes, reading from the endpoint pauses until the
# caller's side has consumed them.
PAUSE_READING_BYTES = 256 * 1024
MAX_HEAD_BYTES = 64 * 1024
# A live endpoint accepts within a few ms. A dead machine does not answer a
# SYN, and one with a full accept queue answers after a second.
CONNECT_LIMIT_S = 0.3
# Share of the endpoint's idle limit for which a connection is reused: the
# endpoint may close it just as a request is written.
IDLE_LIMIT_SHARE = 0.6
# Endpoints that state no limit close idle connections after a few seconds.
DEFAULT_IDLE_LIMIT_S = 3.0


class ChannelBroken(Exception):
    """The connection ended or carried bytes that are not an answer.

    :param reason: short name for logs and counters.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ConnectFailed(Exception):
    """No connection was established, so nothing was sent."""


class EndpointChannel(asyncio.Protocol):
    """HTTP/1.1 client connection that carries one request at a time."""

    def __init__(self) -> None:
        self.request_count = 0
        self.last_activity_s = 0.0
        self._idle_until_s = 0.0
        self._idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._is_busy = False
        self._is_lost = False
        self._is_paused = False
        self._buffered_bytes = 0
        self._wakeup: asyncio.Future[None] | None = None
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sockets.tune(sock)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; bytes without an open request abort the connection."""
        self.last_activity_s = self._loop.time()
        if not self._is_busy:
            self.abort()
            return
        self._parser.receive_data(data)
        self._buffered_bytes += len(data)
        if (
            self._buffered_bytes > PAUSE_READING_BYTES
            and self._transport is not None
        ):
            self._transport.pause_reading()
            self._is_paused = True
        self._wake()

    def eof_received(self) -> bool:
        """Signal the end of input, which ends an answer without a length."""
        if self._is_busy and not self._is_lost:
            self._parser.receive_data(b'')
            self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the task that waits for an answer."""
        self._is_lost = True
        self._wake()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    def is_reusable(self, now_s: float) -> bool:
        """Tell whether another request may be sent.

        :param now_s: seconds of the event loop's clock.
        """
        return not self._is_lost and now_s < self._idle_until_s

    def begin(self, request: h11.Request, body: bytes) -> None:
        """Write a request.

        :raises ChannelBroken: if the connection is already lost, so that
            nothing was sent.
        """
        if self._is_lost or self._transport is None:
            raise ChannelBroken('closed before the request')
        self.request_count += 1
        self._is_busy = True
        content = self._encode(request, body)
        self.last_activity_s = self._loop.time()
        self._transport.write(content)

    def _encode(self, request: h11.Request, body: bytes) -> bytes:
        parts = [self._parser.send(request)]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    def skip_answer(self, request: h11.Request, body: bytes) -> None:
        """Continue with the answer after one to an earlier request.

        A new parser takes over the unread bytes. The request was already
        written and is not sent again.
        """
        unread, is_ended = self._parser.trailing_data
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._encode(request, body)
        if unread:
            self._parser.receive_data(unread)
        if is_ended:
            self._parser.receive_data(b'')

    async def next_event(self) -> Any:
        """Return the next ``h11`` event of the answer.

        :raises ChannelBroken: if the connection ends before the answer.
        """
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ChannelBroken('damaged answer') from error
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ChannelBroken('ended early')
            if event is not h11.NEED_DATA:
                return event
            if self._is_lost:
                raise ChannelBroken('connection lost')
            self._resume_reading()
            self._wakeup = self._loop.create_future()
            await self._wakeup

    def _resume_reading(self) -> None:
        self._buffered_bytes = 0
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    def finish(self, idle_limit_s: float | None, is_closing: bool) -> None:
        """End a complete answer; keep the connection if it is reusable.

        :param idle_limit_s: limit that the endpoint stated, or None.
        """
        self._is_busy = False
        if idle_limit_s is not None:
            self._idle_limit_s = idle_limit_s
        unread, is_ended = self._parser.trailing_data
        if is_closing or unread or is_ended or self._is_lost:
            self.close()
            return
        try:
            self._parser.start_next_cycle()
        except h11.LocalProtocolError:
            # One side asked to close, or the body had no length.
            self.close()
            return
        self._idle_until_s = (
            self._loop.time() + self._idle_limit_s * IDLE_LIMIT_SHARE
        )

    def close(self) -> None:
        """Close after the bytes that are still to be written."""
        self._is_lost = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the endpoint cancels the request."""
        self._is_lost = True
        if self._transport is not None:
            self._transport.abort()


async def connect(address: str) -> EndpointChannel:
    """Open a connection.

    :param address: ``IP:port``.
    :raises ConnectFailed: if none is established within the limit.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_LIMIT_S):
            _, channel = await loop.create_connection(
                EndpointChannel, host, int(port)
            )
    except (OSError, asyncio.TimeoutError) as error:
        reason = f'{address}: {type(error).__name__}'
        raise ConnectFailed(reason) from error
    return channel
