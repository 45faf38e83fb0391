"""How entry instances find one another and share what they know."""

from __future__ import annotations

import asyncio
from collections import abc
import random
import socket
import time

import aiohttp
import msgspec

from godwitvalve.fleet import consumers
from godwitvalve.fleet import state as states
from godwitvalve.gossip import members as member_model
from godwitvalve.gossip import node as gossip_nodes
from godwitvalve.ingress import control
from godwitvalve.logs import setup as logs
from godwitvalve.platform import settings as wire_settings
from godwitvalve.platform import store as stores

# Table of the entry instances; one row each, written at their start.
TABLE = 'entries'
RETRY_PAUSE_S = 0.5
# Entries that start learn all others at once; this is for those that no
# beat reached, as after a long cut.
READ_PERIOD_S = 60.0
# A configuration that others have is normally heard from the store first.
SYNC_PERIOD_S = 0.25
PEER_CALL_TIMEOUT_S = 0.8

_LOG = logs.get('membership')
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(member_model.Record)


def peer_address(settings: wire_settings.FleetSettings) -> str:
    """Return the address of this instance for datagrams."""
    return f'{settings.ip}:{settings.peer_ports[0]}'


def seed_peers(settings: wire_settings.FleetSettings) -> list[str]:
    """Return the datagram addresses of the seeds.

    Ports are the same on all machines.
    """
    return [
        f'{address.rpartition(":")[0]}:{settings.peer_ports[0]}'
        for address in settings.seed_addresses
        if address.rpartition(':')[0] != settings.ip
    ]


async def open_socket(
    settings: wire_settings.FleetSettings, node: gossip_nodes.GossipNode
) -> None:
    """Bind the socket for datagrams."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: node,
        local_addr=(settings.ip, settings.peer_ports[0]),
        family=socket.AF_INET,
    )


class MemberRows:
    """Writes the row of this instance and reads those of the others.

    Beats tell of new entries; the rows are for an entry that starts while
    no seed is up, and are read again for those that beats never reached.
    """

    def __init__(
        self,
        store: stores.StoreClient,
        members: member_model.Members,
        build_record: abc.Callable[[int], member_model.Record],
    ) -> None:
        self._store = store
        self._members = members
        self._build_record = build_record

    async def run(self) -> None:
        """Register, then read until cancelled."""
        await self._retry_until_done(self._register)
        while True:
            await self._retry_until_done(self._read)
            await asyncio.sleep(READ_PERIOD_S * random.uniform(0.5, 1.5))

    async def _retry_until_done(
        self, operation: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        while True:
            try:
                return await operation()
            except stores.StoreUnavailable as error:
                _LOG.warning(
                    'Rows of entries are not reached.',
                    extra={'reason': str(error)},
                )
            await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))

    async def _register(self) -> None:
        record = self._build_record(0)
        await self._store.write(
            TABLE, record.instance_id, _ENCODER.encode(record)
        )
        _LOG.info('This instance is registered.')

    async def _read(self) -> None:
        answer = await self._store.rows(TABLE)
        for row in answer.rows:
            try:
                self._members.add_stored(_DECODER.decode(row.value or b''))
            except msgspec.DecodeError as error:
                _LOG.warning(
                    'A row names no entry instance.',
                    extra={'key': row.key, 'reason': str(error)},
                )


class PeerSync:
    """Reads from another entry what the store does not tell.

    Load pattern: the store turns this machine away, or is down when it
    starts, while others know a newer configuration.
    """

    def __init__(
        self,
        settings: wire_settings.FleetSettings,
        state: states.FleetState,
        members: member_model.Members,
        configuration: consumers.ConfigurationConsumer,
    ) -> None:
        self._port = settings.control_address.rpartition(':')[2]
        self._state = state
        self._members = members
        self._configuration = configuration
        self._rng = random.Random()

    async def run(self) -> None:
        """Compare versions with the others until cancelled."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=PEER_CALL_TIMEOUT_S)
        ) as session:
            while True:
                await asyncio.sleep(SYNC_PERIOD_S)
                await self._sync_once(session)

    async def _sync_once(self, session: aiohttp.ClientSession) -> None:
        ahead = [
            record
            for record in self._members.alive(time.monotonic())
            if record.configuration_version > self._state.version
        ]
        if not ahead:
            return
        record = self._rng.choice(ahead)
        host = record.peer_address.rpartition(':')[0]
        url = f'http://{host}:{self._port}{control.STATE_PATH}'
        try:
            async with session.get(url) as answer:
                content = await answer.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            _LOG.warning(
                'A peer does not tell its state.',
                extra={
                    'peer': record.instance_id,
                    'reason': type(error).__name__,
                },
            )
            return
        self._apply_state(content, record.instance_id)

    def _apply_state(self, content: bytes, peer: str) -> None:
        try:
            shared = msgspec.msgpack.decode(content, type=control.SharedState)
        except msgspec.DecodeError as error:
            _LOG.warning(
                'A peer sent a damaged state.',
                extra={'peer': peer, 'reason': str(error)},
            )
            return
        if not self._state.registry.ids():
            for endpoint in shared.listed:
                self._state.registry.update(endpoint, 0)
        self._configuration.apply_content(shared.configuration, peer)
