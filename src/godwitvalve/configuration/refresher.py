"""Keeps the configuration in force up to date."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib

from godwitvalve import clock as clocks
from godwitvalve.configuration import builder
from godwitvalve.configuration import fetcher
from godwitvalve.configuration import in_force
from godwitvalve.configuration import tracker as trackers
from godwitvalve.logs import setup
from godwitvalve.store import port
from godwitvalve.text import head as text_head
from godwitvalve.text import parts

POLL_INTERVAL_S = 2.0
# Limit for all entries together; the first entry that reads a new head
# announces it to the others.
HEAD_READS_PER_S = 100.0
# Two reads fit into the 10 s for which a confirmation is valid.
POLL_LIMIT_S = 4.5
# Ten attempts at a fetch fit into the 10 s after which an entry without the
# newest text stops admitting work.
RETRY_INTERVAL_S = 1.0

_LOG = setup.get('configuration')


def poll_interval_s(entries: int) -> float:
    """Return the seconds between two head reads of one entry."""
    shared_s = entries / HEAD_READS_PER_S
    return min(POLL_LIMIT_S, max(POLL_INTERVAL_S, shared_s))


class Refresher:
    """Polls the head row, fetches missing parts and installs them.

    :param tracker: revisions known to this entry.
    :param on_installed: called with each configuration that is installed.
    """

    def __init__(
        self,
        tracker: trackers.ConfigurationTracker,
        table: port.TableService,
        objects: port.ObjectStore,
        peers: fetcher.PeerParts,
        clock: clocks.Clock,
        on_installed: Callable[[in_force.InForceConfiguration], None],
    ) -> None:
        self.tracker = tracker
        self._table = table
        self._fetcher = fetcher.PartFetcher(objects, peers)
        self._clock = clock
        self._on_installed = on_installed
        self._current: in_force.InForceConfiguration | None = None
        self._serialized: dict[str, bytes] = {}
        self._offered = asyncio.Event()
        self._unusable_revision = 0

    @property
    def current(self) -> in_force.InForceConfiguration | None:
        """Configuration in force."""
        return self._current

    def part(self, part_hash: str) -> bytes | None:
        """Return a serialized part in force, or None."""
        return self._serialized.get(part_hash)

    async def run(self) -> None:
        """Poll the head row and install new heads until cancelled.

        :raises ExceptionGroup: if ``on_installed`` raised.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll())
            group.create_task(self._install_offers())

    async def _poll(self) -> None:
        while True:
            await self.poll_once()
            entries = self.tracker.listed_count
            await asyncio.sleep(poll_interval_s(entries))

    async def poll_once(self) -> bool:
        """Read the head row.

        :returns: whether the store answered with a valid head or without a
            row.
        """
        requested_at_s = self._clock.monotonic_s()
        try:
            row = await self._table.read(text_head.TABLE, text_head.KEY)
            head = None if row is None else text_head.decode(row.value)
        except port.PlatformUnavailable as error:
            _LOG.info('Failed to read the head row: %s.', error)
            return False
        except text_head.HeadError as error:
            _LOG.error('The head row cannot be decoded: %s.', error)
            return False
        if head is not None:
            now_s = self._clock.monotonic_s()
            self.tracker.confirm_by_store(head.revision, requested_at_s, now_s)
            self._offer(head)
        return True

    async def offer_from_peer(self, head: text_head.Head) -> bool:
        """Process a head that a peer announced.

        :returns: whether it is newer than any offered before and should be
            announced to other peers.
        """
        return self._offer(head)

    def _offer(self, head: text_head.Head) -> bool:
        outcome = self.tracker.offer(head, self._clock.monotonic_s())
        if isinstance(outcome, trackers.Ignore):
            return False
        self._offered.set()
        return True

    async def _install_offers(self) -> None:
        while True:
            await self._offered.wait()
            self._offered.clear()
            while not await self.install_once() and self._may_retry():
                with contextlib.suppress(asyncio.TimeoutError):
                    async with asyncio.timeout(RETRY_INTERVAL_S):
                        await self._offered.wait()
                self._offered.clear()

    def _may_retry(self) -> bool:
        pending = self.tracker.pending
        return (
            pending is not None and pending.revision != self._unusable_revision
        )

    async def install_once(self) -> bool:
        """Fetch and install the newest offered head.

        :returns: whether no offered head is left to install.
        """
        head = self.tracker.pending
        if head is None:
            return True
        try:
            bodies, serialized = await self._bodies(head)
        except fetcher.PartsUnavailable as error:
            _LOG.warning(
                'Revision %d is not installed yet: %s.', head.revision, error
            )
            return False
        except parts.PartError as error:
            # The content hash matched, so fetching again would not help.
            self._unusable_revision = head.revision
            _LOG.error(
                'Revision %d cannot be installed: %s.', head.revision, error
            )
            return False
        built = builder.build(head, bodies, self._current)
        if self.tracker.install(head):
            self._current = built
            self._serialized = serialized
            self._on_installed(built)
            _LOG.info('Revision %d is in force.', head.revision)
        return self.tracker.pending is None

    async def _bodies(
        self, head: text_head.Head
    ) -> tuple[dict[str, parts.PartBody], dict[str, bytes]]:
        """Return parsed and serialized parts by content hash."""
        known = self._current.bodies if self._current else {}
        names = {
            part_hash: name
            for name, part_hash in head.parts.items()
            if part_hash not in known
        }
        fetched = await self._fetcher.fetch(names)
        bodies = {
            part_hash: known[part_hash]
            if part_hash in known
            else parts.parse(name, part_hash, fetched[part_hash])
            for name, part_hash in head.parts.items()
        }
        serialized = {
            part_hash: fetched.get(part_hash) or self._serialized[part_hash]
            for part_hash in bodies
        }
        return bodies, serialized
