"""Where an entry reads the platform's tables."""

from __future__ import annotations

from collections import abc
import time
from typing import NamedTuple, Protocol

from godwitvalve.gossip import members as member_model
from godwitvalve.platform import store as stores

# What an entry passes on is asked elsewhere once it was not confirmed by
# the store for this long. Leaving endpoints must be known everywhere within
# 3 s in a large fleet; a second is for the next source.
STALE_S = 1.5
# An idle wait costs one call; the store's connection is watched by
# keepalive probes meanwhile.
STORE_WAIT_S = 8.0
# One entry of each failure domain confirms its tables each second.
RELAYED_WAIT_S = 1.0
# A source that failed is left out for this long: a process restarts within
# about a second, a cut lasts some seconds.
FAILED_PAUSE_S = 3.0


class TableAnswer(NamedTuple):
    """Rows of a table, in the order of their versions.

    :param version: newest version of the store that is covered.
    :param confirmed_s: monotonic seconds as of which this was true.
    :param trusted_from_s: removals are not trusted before this, as rows
        that lapsed in an outage come back.
    """

    rows: list[stores.StoredRow]
    version: int
    confirmed_s: float
    trusted_from_s: float = float('-inf')


class TableSource(Protocol):
    """Answers what the store would answer."""

    async def rows(self, table: str) -> TableAnswer:
        """Return the whole table."""

    async def changes(
        self, table: str, after_version: int, wait_s: float
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
        return TableAnswer(answer.rows, answer.version, began_s)

    async def changes(
        self, table: str, after_version: int, wait_s: float
    ) -> TableAnswer:
        """Wait for changes of a table.

        :raises HistoryGone: if the table must be read anew.
        :raises StoreUnavailable: if no usable answer came.
        """
        answer = await self._store.changes(table, after_version, wait_s)
        return TableAnswer(answer.rows, answer.version, time.monotonic())


class SourceSelector:
    """Decides whether to ask the store or another entry.

    The live entry with the smallest id of each failure domain asks the
    store; the others ask it, then those of other domains, then the store.
    """

    def __init__(self, own_id: str, own_domain: str) -> None:
        self._own_id = own_id
        self._own_domain = own_domain
        self._failed_until_s: dict[str, float] = {}

    def mark_failed(self, instance_id: str, now_s: float) -> None:
        """Note that an entry does not pass on fresh rows."""
        self._failed_until_s[instance_id] = now_s + FAILED_PAUSE_S

    def reads_store(self, alive: abc.Sequence[member_model.Record]) -> bool:
        """Tell whether this entry asks the store for its domain."""
        own_reader = _domain_readers(alive).get(self._own_domain)
        return own_reader is None or own_reader.instance_id > self._own_id

    def choose(
        self, alive: abc.Sequence[member_model.Record], now_s: float
    ) -> member_model.Record | None:
        """Return the entry to ask, or None for the store itself.

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
