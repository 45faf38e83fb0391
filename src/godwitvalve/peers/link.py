"""Link to a peer: one authenticated connection, served by one task."""

from __future__ import annotations

import asyncio
from collections import abc

from godwitvalve import clock as clock_model
from godwitvalve.peers import connect
from godwitvalve.peers import envelopes
from godwitvalve.peers import framing
from godwitvalve.peers import messages
from godwitvalve.peers import traffic as traffic_model

# A message counts as old as the last echoed timestamp, so the age bound grows
# by up to about two heartbeat intervals at each hop.
HEARTBEAT_S = 0.5
IDLE_TIMEOUT_S = 3.0
# A peer with this much unsent data is seconds behind; its link is closed.
MAX_UNSENT_BYTES = 4 * 1024 * 1024
_READ_BYTES = 64 * 1024

Receiver = abc.Callable[['PeerLink', envelopes.Envelope], None]


class LinkClosed(Exception):
    """The connection ended, for the reason in the message."""


class PeerLink:
    """Sends and receives envelopes over one authenticated connection.

    :param receive: called with each envelope except heartbeats.
    """

    def __init__(
        self,
        connection: connect.Connection,
        clock: clock_model.Clock,
        traffic: traffic_model.Traffic,
        receive: Receiver,
    ) -> None:
        self.peer = connection.peer
        self.is_dialled = connection.is_dialled
        self.is_open = True
        self._connection = connection
        self._clock = clock
        self._traffic = traffic
        self._receive = receive
        now_s = clock.monotonic_s()
        self.opened_s = now_s
        self.last_used_s = now_s
        # No message on this connection was sent before its handshake began.
        self._echo_s = now_s - connect.HANDSHAKE_TIMEOUT_S
        self._peer_timestamp_s = -1.0
        self._next_heartbeat_s = now_s
        self._idle_deadline_s = now_s + IDLE_TIMEOUT_S

    def age_bound_s(self) -> float:
        """Return the maximum age of a message received now, in seconds.

        The peer sent it after receiving the timestamp that it echoed, so
        the message is not older than this timestamp.
        """
        return max(0.0, self._clock.monotonic_s() - self._echo_s)

    def send(self, envelope: envelopes.Envelope) -> bool:
        """Queue an envelope for sending.

        :returns: False if the link is closed or has too much unsent data.
        :raises MessageError: if the message exceeds its size limit.
        """
        return self.send_encoded(envelopes.encode(envelope))

    def send_encoded(self, payload: bytes) -> bool:
        """Queue an encoded envelope, which may be shared by several links.

        :returns: as for ``send``.
        """
        transport = self._connection.writer.transport
        if not self.is_open or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return False
        frame = self._connection.sealer.seal(payload)
        self._connection.writer.write(frame)
        self._traffic.bytes_out += len(frame)
        self._traffic.frames_out += 1
        return True

    def close(self) -> None:
        """Close the connection and discard queued bytes."""
        self.is_open = False
        self._connection.writer.transport.abort()

    def reject(self, fact: messages.MemberFact) -> None:
        """Send a fact as the reason, then close the connection."""
        self.send(envelopes.Direct(fact))
        self.is_open = False
        self._connection.writer.close()

    async def run(self) -> None:
        """Send heartbeats and receive envelopes until the connection ends.

        :raises LinkClosed: always, with the reason.
        """
        try:
            while True:
                data = await self._read()
                self._traffic.bytes_in += len(data)
                for payload in self._connection.opener.feed(data):
                    self._traffic.frames_in += 1
                    self._handle(envelopes.decode(payload))
        except (OSError, framing.FrameError, messages.MessageError) as error:
            raise LinkClosed(f'{type(error).__name__}: {error}') from error
        finally:
            self.close()

    async def _read(self) -> bytes:
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= self._idle_deadline_s:
                self._traffic.silent_connections += 1
                raise LinkClosed('no data received within the time-out')
            if now_s >= self._next_heartbeat_s:
                self._next_heartbeat_s = now_s + HEARTBEAT_S
                heartbeat = messages.Heartbeat(now_s, self._peer_timestamp_s)
                self.send(envelopes.Direct(heartbeat))
            wake_s = min(self._next_heartbeat_s, self._idle_deadline_s)
            try:
                async with asyncio.timeout(wake_s - now_s):
                    data = await self._connection.reader.read(_READ_BYTES)
            except TimeoutError:
                continue
            if not data:
                raise LinkClosed('peer closed the connection')
            self._idle_deadline_s = self._clock.monotonic_s() + IDLE_TIMEOUT_S
            return data

    def _handle(self, envelope: envelopes.Envelope) -> None:
        match envelope:
            case envelopes.Direct(messages.Heartbeat(timestamp_s, echo_s)):
                self._peer_timestamp_s = timestamp_s
                if self._echo_s < echo_s <= self._clock.monotonic_s():
                    self._echo_s = echo_s
            case _:
                self._receive(self, envelope)
