"""Exchanges records with other entry instances over datagrams."""

from __future__ import annotations

import asyncio
from collections import abc
import random
import time
from typing import cast

import msgspec

from godwitvalve.decoding import content as contents
from godwitvalve.forwarding import sent_bytes
from godwitvalve.gossip import members as member_model
from godwitvalve.lifecycle import supervision
from godwitvalve.logs import repeats
from godwitvalve.logs import setup as logs

HEARTBEAT_PERIOD_S = 0.25
# Changes within this period are sent in one datagram.
UPDATE_DELAY_S = 0.02
# Fits an Ethernet frame.
MAX_DATAGRAM_BYTES = 1400

_LOG = logs.get('gossip')
_FAILURES = supervision.FailureLog(_LOG)
_DECODER = msgspec.msgpack.Decoder(list[member_model.AgedRecord])
_ENCODER = msgspec.msgpack.Encoder()


def encode(records: abc.Sequence[member_model.AgedRecord]) -> bytes:
    """Encode the own record and as many relayed records as fit."""
    content = _ENCODER.encode(records)
    while len(content) > MAX_DATAGRAM_BYTES and len(records) > 1:
        fitting = len(records) * MAX_DATAGRAM_BYTES // len(content)
        records = records[: max(1, min(fitting, len(records) - 1))]
        content = _ENCODER.encode(records)
    return content


class GossipNode(asyncio.DatagramProtocol):
    """Sends heartbeats and merges received ones into the members.

    :param own_record: returns the current record of this instance for a
        heartbeat number.
    :param seeds: ``IP:port`` of peers to contact while no member is live.
    :param on_record: called with each newer record and the seconds since
        its owner sent it.
    """

    def __init__(
        self,
        members: member_model.Members,
        own_record: abc.Callable[[int], member_model.Record],
        seeds: abc.Sequence[str],
        on_record: abc.Callable[[member_model.Record, float], None],
    ) -> None:
        self._members = members
        self._own_record = own_record
        self._seeds = seeds
        self._on_record = on_record
        self._heartbeat = 0
        self._rng = random.Random()
        self._logged_senders = repeats.RepeatFilter()
        self._transport: asyncio.DatagramTransport | None = None
        self._update_timer: asyncio.TimerHandle | None = None

    def set_seeds(self, seeds: abc.Sequence[str]) -> None:
        """Replace the peers to contact while no member is live."""
        self._seeds = seeds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Merge the records of a datagram; invalid ones are dropped."""
        try:
            records = contents.decode(_DECODER, data)
        except contents.InvalidContent as error:
            if self._logged_senders.admits(addr[0], time.monotonic()):
                _LOG.warning(
                    'Dropped an invalid datagram.',
                    extra={'sender': addr[0], 'reason': str(error)},
                )
            return
        now_s = time.monotonic()
        for age_ms, record in records:
            if self._members.merge(record, now_s, age_ms / 1000):
                with _FAILURES.isolate('apply the record of an entry'):
                    self._on_record(record, age_ms / 1000)

    def error_received(self, exc: Exception) -> None:
        """Log an undelivered datagram; the next heartbeat replaces it."""
        _LOG.debug('Datagram not delivered.', extra={'reason': str(exc)})

    def schedule_update(self) -> None:
        """Send the own record to live members after a short delay."""
        if self._update_timer is None and self._transport is not None:
            loop = asyncio.get_running_loop()
            self._update_timer = loop.call_later(
                UPDATE_DELAY_S, self._send_update
            )

    def _send_update(self) -> None:
        self._update_timer = None
        if self._transport is None or self._transport.is_closing():
            return
        now_s = time.monotonic()
        self._heartbeat += 1
        records = [
            member_model.AgedRecord(0, self._own_record(self._heartbeat))
        ]
        content = encode(records)
        for address in self._members.update_targets(now_s, self._rng):
            self._send_to(content, address)

    def send_heartbeat(self) -> None:
        """Send the own record; in a large fleet also relay others."""
        if self._transport is None or self._transport.is_closing():
            return
        self._heartbeat += 1
        own = self._own_record(self._heartbeat)
        for address in self._members.heartbeat_targets(self._rng):
            self._send(own, address)

    def _send(self, own: member_model.Record, address: str) -> None:
        assert self._transport is not None
        relayed = self._members.records_to_relay(time.monotonic(), self._rng)
        records = [member_model.AgedRecord(0, own), *relayed]
        self._send_to(encode(records), address)

    def _send_to(self, content: bytes, address: str) -> None:
        assert self._transport is not None
        host, _, port = address.rpartition(':')
        self._transport.sendto(content, (host, int(port)))
        sent_bytes.PROCESS.add(len(content))

    def send_to_seeds(self) -> None:
        """Send the own record to the seeds, which relay it."""
        if self._transport is None:
            return
        self._heartbeat += 1
        own = self._own_record(self._heartbeat)
        for address in self._seeds:
            self._send(own, address)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            if not self._members.alive(time.monotonic()):
                self.send_to_seeds()
            self.send_heartbeat()
            self._members.remove_expired(time.monotonic())
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def close(self) -> None:
        """Stop sending."""
        if self._transport is not None:
            self._transport.close()
