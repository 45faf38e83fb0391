"""One HTTP/1.1 connection to an endpoint."""

from __future__ import annotations

import asyncio
import collections
import math
import time
from typing import Any, cast

import h11

from godwitvalve import clock
from godwitvalve.forwarding import arrivals
from godwitvalve.forwarding import body_memory
from godwitvalve.forwarding import message_buffer
from godwitvalve.forwarding import message_memory
from godwitvalve.forwarding import sent_bytes
from godwitvalve.forwarding import sockets
from godwitvalve.parsing import overhead
from godwitvalve.parsing import throttle as throttles
from godwitvalve.services import headers as header_rules

# Above this many buffered bytes, reading from the endpoint pauses until the
# caller's side has consumed them.
PAUSE_READING_BYTES = 64 * 1024
READ_BYTES = 16 * 1024
MAX_HEAD_BYTES = 64 * 1024
# Endpoints send at most one interim answer before the final one.
MAX_INTERIM_ANSWERS = 8
# A head is sent at once; the limit leaves time for two retransmissions.
HEAD_LIMIT_S = 2.0
# The parser takes a head at once, however many lines it has. A kilobyte has at
# most some 200 lines, and a sound head some 20.
HEAD_PIECE_BYTES = 1024
MAX_HEAD_LINES = 256
# The parser takes the lines after the last chunk at once, too.
BODY_PIECE_BYTES = 4 * 1024
# Parsing this many events takes about a millisecond, after which other
# requests run.
EVENTS_PER_STEP = 32
# Requests of which a connection keeps the ids. A plain call is attempted
# again at the same endpoint within a second, in which a connection carries
# at most some twenty others.
MAX_CARRIED_IDS = 64
# A live endpoint accepts within a few ms. A dead machine does not answer a
# SYN, and one with a full accept queue answers after a second.
CONNECT_LIMIT_S = 0.3
# Share of the endpoint's idle limit for which a connection is reused: the
# endpoint may close it just as a request is written.
IDLE_LIMIT_SHARE = 0.6
# Endpoints that state no limit close idle connections after a few seconds.
DEFAULT_IDLE_LIMIT_S = 3.0
# Time for an endpoint that has answered to read the rest of a long body.
REST_LIMIT_S = 2.0

# Reason of an answer that was given up for what it cost.
COSTLY_ANSWER = 'costly answer'
TOO_MANY_LINES = 'too many lines'


class ChannelBroken(Exception):
    """The connection ended or carried bytes that are not an answer.

    :param reason: short name for logs and counters.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ConnectFailed(Exception):
    """No connection was established, so nothing was sent."""


class EndpointChannel(asyncio.BufferedProtocol):
    """HTTP/1.1 client connection that carries one request at a time.

    :param memory: counts the bytes of answers that are not complete, and of
        a body whose rest is written after the answer.
    :param throttle: shared by all messages that are costly to parse.
    :ivar sent_s: when the last request was sent, in seconds since boot.
    :ivar steady_arrivals: arrivals that the network did not hold up.
    """

    # Shared by all connections, as received bytes are copied at once.
    _read_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(
        self,
        memory: message_memory.MessageMemory,
        throttle: throttles.ParsingThrottle,
    ) -> None:
        self.request_count = 0
        self.sent_s = 0.0
        self.steady_arrivals = arrivals.SteadyArrivals()
        # Since when bytes may wait in the socket.
        self._unread_since_s = math.inf
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
        self._kept_bytes = 0
        # Rest of the body that is not passed to the transport yet.
        self._unsent = memoryview(b'')
        self._is_writing_paused = False
        self._rest_limit: asyncio.TimerHandle | None = None
        self._memory = memory
        self._carried_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_CARRIED_IDS
        )
        # Received bytes that the parser didn't get yet.
        self._unparsed = bytearray()
        self._has_ended = False
        # Whether it ended before all of the request was written.
        self._is_request_cut = False
        self._is_in_head = True
        self._throttle = throttle
        self._overhead = overhead.ParsingOverhead()
        self._events_in_step = 0
        self._step_cost_s = 0.0
        # Event that was parsed and is not returned yet.
        self._parsed_event: Any = None
        self._is_given_up = False
        self._lost_reason = 'connection lost'
        self._wakeup: asyncio.Future[None] | None = None
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        self._transport = cast(asyncio.Transport, transport)
        # The transport copies what it buffers.
        self._transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sockets.tune(sock)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes; bytes without an open request abort the connection."""
        self._record_arrival(nbytes)
        if self._is_lost:
            return
        if not self._is_busy:
            self.abort()
            return
        self._unparsed += self._read_buffer[:nbytes]
        self._buffered_bytes += nbytes
        self._update_memory()
        if (
            self._buffered_bytes > PAUSE_READING_BYTES
            or self._overhead.is_throttled
        ):
            self._pause_reading()
        self._wake()

    def _record_arrival(self, size_bytes: int) -> None:
        """Record when these bytes arrived at the latest.

        They may have waited in the socket while the process was held up or
        reading was paused. A read that fills the buffer may leave some.
        """
        arrived_s = min(arrivals.PROCESS.bound_s, self._unread_since_s)
        self.steady_arrivals.record(arrived_s)
        self._unread_since_s = (
            arrived_s if size_bytes == READ_BYTES else math.inf
        )

    def eof_received(self) -> bool:
        """Signal the end of input, which ends an answer without a length."""
        if self._is_busy and not self._is_lost:
            self._has_ended = True
            self._is_request_cut = bool(self._unsent)
            self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the task that waits for an answer."""
        self._is_lost = True
        self._drop_unsent()
        self._memory.release(self)
        self._wake()

    def pause_writing(self) -> None:
        """Write no more until the transport's buffer is empty."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Write the next piece of the body."""
        self._is_writing_paused = False
        self._write_pieces()

    def _write_pieces(self) -> None:
        if not self._unsent or self._transport is None:
            return
        while (
            self._unsent
            and not self._is_writing_paused
            and not self._transport.is_closing()
        ):
            piece = self._unsent[: body_memory.SEND_BYTES]
            self._keep_unsent(self._unsent[body_memory.SEND_BYTES :])
            self._transport.write(piece)
            sent_bytes.PROCESS.add(len(piece))
        if not self._unsent and self._rest_limit is not None:
            # The transport may call this as it writes, and would end twice.
            self._loop.call_soon(self.close)

    def _keep_unsent(self, rest: memoryview) -> None:
        # Also an empty view would keep the whole body in memory.
        self._unsent = rest if rest else memoryview(b'')

    def _drop_unsent(self) -> None:
        self._unsent = memoryview(b'')
        if self._rest_limit is not None:
            self._rest_limit.cancel()
            self._rest_limit = None

    def keep(self, size_bytes: int) -> None:
        """Count bytes that were read and that their reader still keeps."""
        self._kept_bytes = size_bytes
        self._update_memory()

    def _update_memory(self) -> None:
        if not self._is_lost:
            self._memory.hold(self, self._buffered_bytes + self._kept_bytes)

    def abort_for_memory(self) -> None:
        """Give up the answer, as too many bytes are held for answers."""
        self._is_given_up = True
        self._lost_reason = 'answer memory exhausted'
        self.abort()
        self._wake()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    def is_reusable(self, now_s: float) -> bool:
        """Tell whether another request may be sent.

        :param now_s: seconds of the event loop's clock.
        """
        return not self._is_lost and now_s < self._idle_until_s

    def has_carried(self, request_id: str) -> bool:
        """Tell whether a late answer may exist that has this id.

        A second attempt of a request has the id of the first one, so a late
        copy of the first answer can't be told from the second answer.
        """
        return request_id in self._carried_ids

    def begin(
        self,
        request: h11.Request,
        body: message_buffer.Content,
        request_id: str = '',
    ) -> None:
        """Write a request, a long body in pieces as the endpoint reads it.

        :raises ChannelBroken: if the connection is already lost, so that
            nothing was sent.
        """
        if self._is_lost or self._transport is None:
            raise ChannelBroken('closed before the request')
        self.request_count += 1
        if request_id:
            self._carried_ids.append(request_id)
        self._is_busy = True
        self._is_in_head = True
        self._overhead = overhead.ParsingOverhead()
        head = self._encode(request, body)
        self.sent_s = clock.since_boot_s()
        content = memoryview(body)
        # Written together, a short request takes one packet.
        self._keep_unsent(content[body_memory.SEND_BYTES :])
        first = head + content[: body_memory.SEND_BYTES]
        self._transport.write(first)
        sent_bytes.PROCESS.add(len(first))
        self._write_pieces()

    def _encode(
        self, request: h11.Request, body: message_buffer.Content
    ) -> bytes:
        """Return the head; all bodies have a length and are sent as is."""
        head = self._parser.send(request)
        assert head is not None
        if body:
            self._parser.send_with_data_passthrough(
                h11.Data(data=cast(bytes, body))
            )
        self._parser.send(h11.EndOfMessage())
        return head

    def skip_answer(
        self, request: h11.Request, body: message_buffer.Content
    ) -> None:
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
        self._is_in_head = True

    async def read_head(self) -> h11.Response:
        """Return the head of the answer, without interim answers.

        :raises ChannelBroken: if the connection ends before, or if the
            bytes are no head, or not within ``HEAD_LIMIT_S`` of the first.
        """
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            await self._wait_for_bytes()
            try:
                async with asyncio.timeout(HEAD_LIMIT_S):
                    event = await self.next_event()
            except asyncio.TimeoutError as error:
                raise ChannelBroken('incomplete head') from error
            if isinstance(event, h11.Response):
                if not header_rules.is_defined_status(
                    event.status_code
                ) or not all(
                    header_rules.may_be_sent(value.decode('latin-1'))
                    for _, value in event.headers
                ):
                    raise ChannelBroken('damaged answer')
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ChannelBroken('damaged answer')
        raise ChannelBroken('too many interim answers')

    async def _wait_for_bytes(self) -> None:
        while not self._is_lost:
            unread, is_ended = self._parser.trailing_data
            if unread or is_ended or self._unparsed or self._has_ended:
                return
            await self._wait()

    async def _wait(self) -> None:
        if self._overhead.is_throttled:
            # Each packet of it costs as much as some events.
            await self._pause()
        self._resume_reading()
        if self._unparsed or self._has_ended or self._is_lost:
            return
        self._wakeup = self._loop.create_future()
        await self._wakeup

    async def next_event(self) -> Any:
        """Return the next ``h11`` event of the answer.

        :raises ChannelBroken: if the connection ends before the answer, or
            if the answer costs far more than it brings.
        """
        if self._events_in_step >= EVENTS_PER_STEP:
            await self._pause()
        while (event := self._parse()) is h11.NEED_DATA:
            if self._is_lost:
                raise ChannelBroken(self._lost_reason)
            await self._wait()
        return event

    async def _pause(self) -> None:
        """Let others run, for longer if the answer is costly."""
        cost_s, self._step_cost_s = self._step_cost_s, 0.0
        self._events_in_step = 0
        if not self._overhead.is_throttled:
            await asyncio.sleep(0)
            return
        self._pause_reading()
        await self._throttle.pause(cost_s)

    def pay(self, parts: float) -> None:
        """Pay for parts of the answer that brought a stream's new events."""
        self._overhead.pay(parts)

    def _parse(self) -> Any:
        """Return the next event, or ``h11.NEED_DATA``."""
        if self._is_given_up:
            raise ChannelBroken(self._lost_reason)
        if self._parsed_event not in (None, h11.NEED_DATA):
            event, self._parsed_event = self._parsed_event, None
            return event
        began_s = time.thread_time()
        try:
            event = self._parse_step()
        except h11.RemoteProtocolError as error:
            raise ChannelBroken('damaged answer') from error
        finally:
            self._step_cost_s += time.thread_time() - began_s
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise ChannelBroken('ended early')
        self._count(event)
        return event

    def _parse_step(self) -> Any:
        """Give the parser one piece after the other until it has an event."""
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            unread, _ = self._parser.trailing_data
            if unread.count(b'\n') > MAX_HEAD_LINES:
                raise ChannelBroken(TOO_MANY_LINES)
            if self._unparsed:
                size_bytes = (
                    HEAD_PIECE_BYTES if self._is_in_head else BODY_PIECE_BYTES
                )
                self._parser.receive_data(bytes(self._unparsed[:size_bytes]))
                del self._unparsed[:size_bytes]
            elif self._has_ended:
                if self._is_request_cut:
                    raise ChannelBroken('ended before the request')
                self._has_ended = False
                self._parser.receive_data(b'')
            else:
                break
        return event

    def _count(self, event: Any) -> None:
        """Count what an event cost and what it brought."""
        if event is h11.NEED_DATA:
            return
        self._events_in_step += 1
        if isinstance(event, h11.Response):
            self._is_in_head = False
        size_bytes = len(event.data) if isinstance(event, h11.Data) else 0
        self._overhead.add(1, size_bytes)
        if self._overhead.is_excessive:
            self._is_given_up = True
            self._lost_reason = COSTLY_ANSWER
            raise ChannelBroken(COSTLY_ANSWER)

    async def read_data(self) -> bytes:
        """Return the next bytes of the body, or b'' at its end.

        Joins the chunks that have arrived, as an endpoint may send each
        byte in a chunk of its own.

        :raises ChannelBroken: if the connection ends before the body.
        """
        event = await self.next_event()
        if isinstance(event, h11.EndOfMessage):
            return b''
        parts = [bytes(event.data)]
        while self._events_in_step < EVENTS_PER_STEP:
            try:
                event = self._parse()
            except ChannelBroken:
                # Raised again by the next call.
                break
            if not isinstance(event, h11.Data):
                self._parsed_event = event
                break
            parts.append(bytes(event.data))
        return b''.join(parts)

    def _pause_reading(self) -> None:
        if not self._is_paused and self._transport is not None:
            self._transport.pause_reading()
            self._is_paused = True
            self._unread_since_s = min(
                self._unread_since_s, arrivals.PROCESS.bound_s
            )

    def _resume_reading(self) -> None:
        unread, _ = self._parser.trailing_data
        self._buffered_bytes = len(unread) + len(self._unparsed)
        self._update_memory()
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    def finish(self, idle_limit_s: float | None, is_closing: bool) -> None:
        """End a complete answer; keep the connection if it is reusable.

        :param idle_limit_s: limit that the endpoint stated, or None.
        """
        self._is_busy = False
        self._resume_reading()
        self._buffered_bytes = self._kept_bytes = 0
        self._memory.release(self)
        if idle_limit_s is not None:
            self._idle_limit_s = idle_limit_s
        unread, is_ended = self._parser.trailing_data
        has_more = unread or is_ended or self._unparsed or self._has_ended
        if self._unsent and not (has_more or self._is_lost):
            self._write_rest()
            return
        if is_closing or has_more or self._is_lost:
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

    def _write_rest(self) -> None:
        """Go on with the body of a request that was answered early.

        Other bytes, or an end in the midst of the body, would reach the
        endpoint as a part of it. The connection is not used again.
        """
        self._is_lost = True
        self._rest_limit = self._loop.call_later(REST_LIMIT_S, self.abort)
        self._memory.hold(self, len(self._unsent))

    def close(self) -> None:
        """Close after the bytes that are still to be written."""
        if self._rest_limit is not None and self._unsent:
            return
        self._is_lost = True
        self._drop_unsent()
        self._memory.release(self)
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the endpoint cancels the request."""
        self._is_lost = True
        self._drop_unsent()
        self._memory.release(self)
        if self._transport is not None:
            self._transport.abort()


async def connect(
    address: str,
    memory: message_memory.MessageMemory,
    throttle: throttles.ParsingThrottle,
) -> EndpointChannel:
    """Open a connection.

    :param address: ``IP:port``.
    :param memory: counts the bytes of the connection's answers.
    :param throttle: shared by all messages that are costly to parse.
    :raises ConnectFailed: if none is established within the limit.
    """
    host, _, port = address.rpartition(':')
    try:
        sock = await sockets.connect(host, int(port), CONNECT_LIMIT_S)
        _, channel = await asyncio.get_running_loop().create_connection(
            lambda: EndpointChannel(memory, throttle), sock=sock
        )
    except OSError as error:
        reason = f'{address}: {type(error).__name__}'
        raise ConnectFailed(reason) from error
    return channel
