"""Finds the other entry instances and reads state from them."""

from __future__ import annotations

import asyncio
from collections import abc
import random
import socket
import time

import aiohttp
import msgspec

from godwitvalve.decoding import content as contents
from godwitvalve.endpoint_limits import node as permit_nodes
from godwitvalve.fleet import consumers
from godwitvalve.fleet import eras
from godwitvalve.fleet import revisions
from godwitvalve.fleet import state as states
from godwitvalve.forwarding import sockets
from godwitvalve.gossip import members as member_model
from godwitvalve.gossip import node as gossip_nodes
from godwitvalve.ingress import compression
from godwitvalve.ingress import control
from godwitvalve.logs import setup as logs
from godwitvalve.parsing import connectors
from godwitvalve.platform import bodies
from godwitvalve.platform import settings as wire_settings
from godwitvalve.platform import store as stores

# Holds one row per entry instance, written at its start.
TABLE = 'entries'
RETRY_PAUSE_S = 0.5
# A starting entry reads all rows at once. Later reads find entries whose
# heartbeats did not arrive, as after a long network partition.
READ_PERIOD_S = 60.0
# After a restore of the store all entries register again, not all at once.
REGISTRATION_SPREAD_S = 3.0
# Leaves time for a new configuration to arrive from the store first, which
# is the normal case.
SYNC_PERIOD_S = 0.25
PEER_CALL_TIMEOUT_S = 0.8

_LOG = logs.get('membership')
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(member_model.Record)
_STATE_DECODER = msgspec.msgpack.Decoder(control.SharedState)


def peer_address(settings: wire_settings.FleetSettings) -> str:
    """Return the address of this instance for datagrams."""
    return f'{settings.ip}:{settings.peer_ports[0]}'


def seed_peers(settings: wire_settings.FleetSettings) -> list[str]:
    """Return the datagram addresses of the seeds, without this machine.

    Ports are the same on all machines.
    """
    return [
        f'{address.rpartition(":")[0]}:{settings.peer_ports[0]}'
        for address in settings.seed_addresses
        if address.rpartition(':')[0] != settings.ip
    ]


def permit_port(settings: wire_settings.FleetSettings) -> int:
    """Return the port on which all entries issue permits."""
    return settings.peer_ports[0] + 1


async def open_sockets(
    settings: wire_settings.FleetSettings,
    gossip: gossip_nodes.GossipNode,
    permits: permit_nodes.PermitNode,
) -> None:
    """Bind the datagram sockets for heartbeats and for permits."""
    await _bind(gossip, settings.ip, settings.peer_ports[0])
    await _bind(permits, settings.ip, permit_port(settings))


async def _bind(node: asyncio.DatagramProtocol, ip: str, port: int) -> None:
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: node, local_addr=(ip, port), family=socket.AF_INET
    )


class MemberRows:
    """Writes the row of this instance and reads those of the others.

    Heartbeats announce new entries. The rows serve an entry that starts
    while no seed is up; they are read again periodically to find entries
    whose heartbeats never arrived.
    """

    def __init__(
        self,
        store: stores.StoreClient,
        members: member_model.Members,
        build_record: abc.Callable[[int], member_model.Record],
        era: eras.StoreEra,
    ) -> None:
        self._store = store
        self._members = members
        self._build_record = build_record
        self._era = era
        self._registered_era = 0

    async def run(self) -> None:
        """Register, then read until cancelled; register in each era."""
        await self._retry_until_done(self._register)
        while True:
            await self._retry_until_done(self._read)
            if not await self._is_era_over(
                READ_PERIOD_S * random.uniform(0.5, 1.5)
            ):
                continue
            await asyncio.sleep(random.uniform(0.0, REGISTRATION_SPREAD_S))
            await self._retry_until_done(self._register)

    async def _is_era_over(self, wait_s: float) -> bool:
        """Wait, and tell whether the own row may be lost."""
        try:
            async with asyncio.timeout(wait_s):
                while self._era.current == self._registered_era:
                    await self._era.wait_for_change(self._era.change_count)
        except asyncio.TimeoutError:
            return False
        return True

    async def _retry_until_done(
        self, operation: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        while True:
            try:
                return await operation()
            except stores.StoreUnavailable as error:
                _LOG.warning(
                    'Could not access the table of entries; retrying.',
                    extra={'reason': str(error)},
                )
            await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))

    async def _register(self) -> None:
        record = self._build_record(0)
        era = self._era.current
        await self._store.write(
            TABLE, record.instance_id, _ENCODER.encode(record)
        )
        # The first answer of the store is the first to state its era.
        self._registered_era = era or self._era.current
        _LOG.info('Registered this instance.')

    async def _read(self) -> None:
        answer = await self._store.rows(TABLE)
        for row in answer.rows:
            try:
                record = contents.decode(_DECODER, row.value or b'')
            except contents.InvalidContent as error:
                _LOG.warning(
                    'Skipped an entry row that cannot be decoded.',
                    extra={'key': row.key, 'reason': str(error)},
                )
                continue
            self._members.add_stored(record, time.monotonic())


def choose_peer(
    alive: abc.Sequence[member_model.Record],
    own: revisions.ConfigurationRevision,
    rng: random.Random,
    refused: abc.Container[revisions.ConfigurationRevision] = (),
) -> member_model.Record | None:
    """Return an entry with the newest configuration, if it is newer.

    An entry that starts while the store is down must not install an older
    configuration first, in which a withdrawn key is still valid.

    :param own: revision of the installed configuration.
    :param refused: revisions that were read and not installed.
    """
    newer = {
        revision
        for revision in {each.configuration_revision for each in alive}
        if revision.supersedes(own) and revision not in refused
    }
    newest = {
        revision
        for revision in newer
        if not any(other.supersedes(revision) for other in newer)
    }
    # Three revisions may each supersede another one.
    wanted = newest or newer
    found = [each for each in alive if each.configuration_revision in wanted]
    return rng.choice(found) if found else None


class PeerSync:
    """Reads a newer configuration from another entry.

    Load pattern: the store rejects this machine, or is down when it starts,
    while other entries have a newer configuration.
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
        # Revisions that were read and not installed over this own one.
        self._compared = state.revision
        self._refused: set[revisions.ConfigurationRevision] = set()

    async def run(self) -> None:
        """Compare versions with the other entries until cancelled."""
        async with connectors.new_session(
            socket_factory=sockets.create,
            timeout=aiohttp.ClientTimeout(total=PEER_CALL_TIMEOUT_S),
        ) as session:
            while True:
                await asyncio.sleep(SYNC_PERIOD_S)
                await self._sync_once(session)

    async def _sync_once(self, session: aiohttp.ClientSession) -> None:
        own = self._state.revision
        if own != self._compared:
            self._compared = own
            self._refused.clear()
        record = choose_peer(
            self._members.alive(time.monotonic()),
            own,
            self._rng,
            self._refused,
        )
        if record is None:
            return
        host = record.peer_address.rpartition(':')[0]
        url = f'http://{host}:{self._port}{control.STATE_PATH}'
        try:
            async with session.get(
                url, params={compression.PARAMETER: '1'}
            ) as answer:
                content = await bodies.read(answer)
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            _LOG.warning(
                'Could not read the state of a peer.',
                extra={
                    'peer': record.instance_id,
                    'reason': type(error).__name__,
                },
            )
            return
        if self._apply_state(content, record.instance_id):
            self._refused.add(record.configuration_revision)

    def _apply_state(self, content: bytes, peer: str) -> bool:
        """Apply the state of a peer; return whether it was refused."""
        try:
            shared = contents.decode(_STATE_DECODER, content)
            configuration = (
                compression.decompress(shared.configuration)
                if shared.is_compressed
                else shared.configuration
            )
        except (
            contents.InvalidContent,
            compression.InvalidCompression,
        ) as error:
            _LOG.warning(
                'A peer sent a state that cannot be decoded.',
                extra={'peer': peer, 'reason': str(error)},
            )
            return False
        self._state.registry.load_listed(shared.listed)
        return not self._configuration.apply_content(
            configuration,
            revisions.span(
                shared.configuration_era, shared.configuration_last_era
            ),
            peer,
        )
