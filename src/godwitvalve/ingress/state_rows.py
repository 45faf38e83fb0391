"""Persists state of the entries in the platform's store."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from godwitvalve.decoding import content as contents
from godwitvalve.fleet import eras
from godwitvalve.lifecycle import supervision
from godwitvalve.logs import setup as logs
from godwitvalve.platform import store as stores

# One write per second covers most streams, which run for about 6 s, and two
# crashes of endpoints by the same prompt are a second apart.
WRITE_PERIOD_S = 1.0
# The rows matter to requests that come right after a restart.
READ_LIMIT_S = 5.0
READ_RETRY_PAUSE_S = 0.3

_LOG = logs.get('ingress')
_FAILURES = supervision.FailureLog(_LOG)


class SharedState(Protocol):
    """State of which each entry may keep a part in the store."""

    def merge(self, content: bytes) -> None:
        """Merge the content of a row.

        :raises InvalidContent: if it cannot be decoded.
        """

    def content(self) -> bytes:
        """Return what this entry keeps in its row; empty for no change."""


class StoreAccess(Protocol):
    """Calls to the store that rows need."""

    async def rows(self, table: str) -> stores.RowsAnswer:
        """Return all rows of a table.

        :raises StoreUnavailable: if the store gave no usable answer.
        """

    async def write(self, table: str, key: str, value: bytes) -> None:
        """Write one row.

        :raises StoreUnavailable: if the outcome is not known.
        """


class StateRows:
    """Reads the rows written before its start, then writes its own row.

    There is one row per entry, so a table does not grow with requests.
    """

    def __init__(
        self,
        store: StoreAccess,
        table: str,
        instance_id: str,
        state: SharedState,
        era: eras.StoreEra,
    ) -> None:
        self._store = store
        self._table = table
        self._instance_id = instance_id
        self._state = state
        self._era = era
        self._written = b''
        self._written_era = 0

    async def run(self) -> None:
        """Read all rows once, then write own changes until cancelled."""
        await self.read()
        while True:
            await asyncio.sleep(WRITE_PERIOD_S)
            await self.write_changes()

    async def read(self) -> None:
        """Read all rows; give up if the store stays unavailable."""
        deadline_s = time.monotonic() + READ_LIMIT_S
        while time.monotonic() < deadline_s:
            try:
                answer = await self._store.rows(self._table)
            except stores.StoreUnavailable as error:
                _LOG.info(
                    'Could not read the rows of the entries; retrying.',
                    extra={'table': self._table, 'reason': str(error)},
                )
                await asyncio.sleep(READ_RETRY_PAUSE_S)
                continue
            self._merge_rows(answer.rows)
            return

    def _merge_rows(self, rows: list[stores.StoredRow]) -> None:
        for row in rows:
            with _FAILURES.isolate('merge the row of an entry'):
                self._merge_row(row)

    def _merge_row(self, row: stores.StoredRow) -> None:
        try:
            self._state.merge(row.value or b'{}')
        except contents.InvalidContent as error:
            _LOG.warning(
                'Skipped a row that cannot be decoded.',
                extra={
                    'table': self._table,
                    'key': row.key,
                    'reason': str(error),
                },
            )

    async def write_changes(self) -> None:
        """Write the own row if its content has changed."""
        content = self._state.content()
        era = self._era.current
        if not content or (content, era) == (self._written, self._written_era):
            return
        try:
            await self._store.write(self._table, self._instance_id, content)
            self._written, self._written_era = content, era
        except stores.StoreUnavailable as error:
            _LOG.info(
                'Could not write the own row.',
                extra={'table': self._table, 'reason': str(error)},
            )
