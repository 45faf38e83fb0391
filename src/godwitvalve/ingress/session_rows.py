"""Persists the sessions of running streams in the platform's store."""

from __future__ import annotations

import asyncio
from collections import abc
import time

import msgspec

from godwitvalve.logs import setup as logs
from godwitvalve.placement import sessions as session_model
from godwitvalve.platform import store as stores

# One row per entry, so the table does not grow with the number of requests.
# In a large fleet one entry of each failure domain writes for the whole
# failure domain.
TABLE = 'sessions'
# A stream runs for about 6 s, so one write per second covers most of them.
WRITE_PERIOD_S = 1.0
# The rows matter only to callers that retry right after a restart.
READ_LIMIT_S = 5.0
READ_RETRY_PAUSE_S = 0.3

_LOG = logs.get('sessions')


class SessionRows:
    """Reads the rows written before its start, then writes own sessions.

    :param running: returns the sessions that this entry writes, with the
        endpoint of each.
    """

    def __init__(
        self,
        store: stores.StoreClient,
        table: session_model.SessionTable,
        instance_id: str,
        running: abc.Callable[[], dict[str, str]],
    ) -> None:
        self._store = store
        self._table = table
        self._instance_id = instance_id
        self._running = running
        self._written: dict[str, str] = {}

    async def run(self) -> None:
        """Read all rows once, then write own changes until cancelled."""
        await self._read()
        while True:
            await asyncio.sleep(WRITE_PERIOD_S)
            running = self._running()
            if running != self._written:
                await self._write(running)

    async def _read(self) -> None:
        deadline_s = time.monotonic() + READ_LIMIT_S
        while time.monotonic() < deadline_s:
            try:
                answer = await self._store.rows(TABLE)
            except stores.StoreUnavailable as error:
                _LOG.info(
                    'Could not read the session rows; retrying.',
                    extra={'reason': str(error)},
                )
                await asyncio.sleep(READ_RETRY_PAUSE_S)
                continue
            self._merge_rows(answer.rows)
            return

    def _merge_rows(self, rows: list[stores.StoredRow]) -> None:
        now_s = time.monotonic()
        for row in rows:
            try:
                self._table.merge(
                    msgspec.json.decode(
                        row.value or b'{}', type=dict[str, str]
                    ),
                    now_s,
                )
            except msgspec.DecodeError as error:
                _LOG.warning(
                    'Skipped a session row that cannot be decoded.',
                    extra={'key': row.key, 'reason': str(error)},
                )

    async def _write(self, running: dict[str, str]) -> None:
        try:
            await self._store.write(
                TABLE, self._instance_id, msgspec.json.encode(running)
            )
            self._written = running
        except stores.StoreUnavailable as error:
            _LOG.info(
                'Could not write the session row.',
                extra={'reason': str(error)},
            )
