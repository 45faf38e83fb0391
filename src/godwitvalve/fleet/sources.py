"""Sources of the platform's tables: the store and other entries."""

from __future__ import annotations

from collections import abc
import time
from typing import NamedTuple, Protocol

from godwitvalve.gossip import members as member_model
from godwitvalve.platform import store as stores

# Relayed rows are stale once the store has not confirmed them for this long;
# then another source is used. Leaving endpoints must be known everywhere
# within 3 s in a large fleet, of which a second is for the next source.
STALE_S = 1.5
# Each wait for changes costs one call. Keepalive probes do not show that the
# answer to it was lost. The entries that read frequently wait for less; the
# others learn from their heartbeats that they are behind.
STORE_WAIT_S = 8.0
# Entries of a small fleet that wait for less. With two, the others learn of
# changes in time although one of them is cut off from the store only.
MIN_FREQUENT_READERS = 2
# One entry of each failure domain confirms its tables every second.
RELAYED_WAIT_S = 1.0
# A failed source is avoided for this long: a process restarts within about a
# second, a network partition lasts some seconds.
FAILED_PAUSE_S = 3.0


class TableAnswer(NamedTuple):
    """Rows of a table, in the order of their versions.

    :param version: newest store version that the rows include.
    :param confirmed_s: monotonic seconds at which the store confirmed them.
    :param trusted_from_s: monotonic seconds before which removals are not
        trusted, as rows that expired in an outage are written again.
    :param era: era of the store, or None if the answer does not state it.
    """

    rows: list[stores.StoredRow]
    version: int
    confirmed_s: float
    trusted_from_s: float = float('-inf')
    era: int | None = None

    @property
    def revision(self) -> stores.StoreRevision:
        """Return the newest revision that the rows include."""
        return stores.StoreRevision(self.era or 0, self.version)


class TableSource(Protocol):
    """Source of tables, either the store or another entry."""

    async def rows(self, table: str) -> TableAnswer:
        """Return the whole table."""

    async def changes(
        self, table: str, after: stores.StoreRevision, wait_s: float
    ) -> TableAnswer:
        """Wait for changes of a table."""


class StoreSource:
    """The store itself."""

    def __init__(self, store: stores.StoreClient) -> None:
        self._store = store

    async def rows(self, table: str) -> TableAnswer:
        """Return the whole table.

        :raises StoreUnavailable: if no usable answer came.
        """
        began_s = time.monotonic()
        answer = await self._store.rows(table)
        return TableAnswer(
            answer.rows, answer.version, began_s, era=answer.era
        )

    async def changes(
        self, table: str, after: stores.StoreRevision, wait_s: float
    ) -> TableAnswer:
        """Wait for changes of a table.

        :raises HistoryExpired: if the whole table must be read again.
        :raises StoreUnavailable: if no usable answer came.
        """
        answer = await self._store.changes(table, after.version, wait_s)
        return TableAnswer(
            answer.rows, answer.version, time.monotonic(), era=answer.era
        )


class SourceSelector:
    """Selects the store or another entry as the source of tables.

    The live entry with the smallest id of each failure domain reads from
    the store. The others read from it, after its failure from those of
    other failure domains, and at last from the store.
    """

    def __init__(self, own_id: str, own_domain: str) -> None:
        self._own_id = own_id
        self._own_domain = own_domain
        self._failed_until_s: dict[str, float] = {}

    def mark_failed(self, instance_id: str, now_s: float) -> None:
        """Avoid an entry that did not relay current rows."""
        self._failed_until_s[instance_id] = now_s + FAILED_PAUSE_S

    def reads_store(self, alive: abc.Sequence[member_model.Record]) -> bool:
        """Return whether this entry reads the store for its domain."""
        own_reader = _domain_readers(alive).get(self._own_domain)
        return own_reader is None or own_reader.instance_id > self._own_id

    def is_frequent_reader(
        self, alive: abc.Sequence[member_model.Record]
    ) -> bool:
        """Return whether this entry asks the store again within a short time.

        The one that reads for its failure domain does, and in a fleet of one
        domain a second one.
        """
        if self.reads_store(alive):
            return True
        return (
            len(_domain_readers(alive)) < MIN_FREQUENT_READERS
            and sum(
                record.instance_id < self._own_id
                for record in alive
                if record.state != member_model.LEAVING
            )
            < MIN_FREQUENT_READERS
        )

    def choose(
        self, alive: abc.Sequence[member_model.Record], now_s: float
    ) -> member_model.Record | None:
        """Return the entry to read from, or None for the store.

        :param alive: the other live entries.
        """
        if len(alive) < member_model.DIRECT_MEMBERS or self.reads_store(alive):
            return None
        readers = _domain_readers(alive)
        own_reader = readers.pop(self._own_domain)
        return next(
            (
                record
                for record in (own_reader, *readers.values())
                if self._failed_until_s.get(record.instance_id, 0.0) <= now_s
            ),
            None,
        )


def _domain_readers(
    alive: abc.Sequence[member_model.Record],
) -> dict[str, member_model.Record]:
    """Return the entry with the smallest id of each failure domain."""
    readers: dict[str, member_model.Record] = {}
    for record in sorted(alive, key=lambda each: each.instance_id):
        if record.state != member_model.LEAVING:
            readers.setdefault(record.failure_domain, record)
    return readers
