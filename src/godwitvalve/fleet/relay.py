"""Relays tables of the store to other entries."""

from __future__ import annotations

import asyncio
from collections import abc

from godwitvalve.fleet import sources
from godwitvalve.platform import store as stores

# Removals that are kept for entries that lag behind by a few changes. A
# failure domain of the largest fleet has fewer endpoints. Entries that lag
# further behind read the whole table again.
MAX_REMOVED = 4096


class TableRelay:
    """Newest rows of a table with a bounded change history.

    Load pattern: each of 58 entries reads each change of 71 endpoints from
    the store, whose calls are billed. Instead one entry of each failure
    domain reads the changes and relays them.
    """

    def __init__(self) -> None:
        self.revision = stores.StoreRevision(0, 0)
        self.confirmed_s = float('-inf')
        self.trusted_from_s = float('-inf')
        self._history_from = 0
        self._rows: dict[str, stores.StoredRow] = {}
        self._removed: dict[str, stores.StoredRow] = {}
        self._changed = asyncio.Condition()

    async def update(
        self, answer: sources.TableAnswer, is_complete: bool
    ) -> None:
        """Apply an answer of the store or of another entry.

        :param is_complete: whether it contains the whole table.
        """
        before = self.revision
        read = answer.revision
        if is_complete:
            self._rows.clear()
            self._removed.clear()
            self._history_from = answer.version
        for row in answer.rows:
            self._put(row)
        # A complete table of a restored store may have a lower revision.
        self.revision = read if is_complete else max(before, read)
        self.confirmed_s = max(self.confirmed_s, answer.confirmed_s)
        self.trusted_from_s = max(self.trusted_from_s, answer.trusted_from_s)
        if self.revision != before or answer.rows:
            async with self._changed:
                self._changed.notify_all()

    def _put(self, row: stores.StoredRow) -> None:
        if row.value is not None:
            self._rows[row.key] = row
            self._removed.pop(row.key, None)
            return
        self._rows.pop(row.key, None)
        self._removed.pop(row.key, None)
        self._removed[row.key] = row
        while len(self._removed) > MAX_REMOVED:
            oldest = self._removed.pop(next(iter(self._removed)))
            self._history_from = oldest.version

    def snapshot(self) -> sources.TableAnswer:
        """Return the whole table.

        :raises StoreUnavailable: if it was not read yet.
        """
        return self._answer(list(self._rows.values()))

    def since(self, after: stores.StoreRevision) -> sources.TableAnswer:
        """Return the rows that changed after a revision.

        :raises HistoryExpired: if the whole table must be read again.
        :raises StoreUnavailable: if it was not read yet, or not in the era
            of the revision.
        """
        if after.era > self.revision.era:
            raise stores.StoreUnavailable('table of an earlier era')
        if after < (self.revision.era, self._history_from):
            raise stores.HistoryExpired
        known: abc.Iterable[stores.StoredRow] = (
            *self._rows.values(),
            *self._removed.values(),
        )
        changed = [row for row in known if row.version > after.version]
        return self._answer(sorted(changed, key=lambda row: row.version))

    def _answer(self, rows: list[stores.StoredRow]) -> sources.TableAnswer:
        if self.confirmed_s == float('-inf'):
            raise stores.StoreUnavailable('table was not read yet')
        return sources.TableAnswer(
            rows,
            self.revision.version,
            self.confirmed_s,
            self.trusted_from_s,
            self.revision.era,
        )

    async def changes(
        self, after: stores.StoreRevision, wait_s: float, now_s: float
    ) -> sources.TableAnswer:
        """Wait for changes after a revision, or until the table is stale.

        :raises HistoryExpired: if the whole table must be read again.
        :raises StoreUnavailable: if it was not read yet.
        """
        fresh_s = self.confirmed_s + sources.STALE_S - now_s
        try:
            async with asyncio.timeout(max(min(wait_s, fresh_s), 0.0)):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: bool(self.since(after).rows)
                    )
        except asyncio.TimeoutError:
            pass
        return self.since(after)
