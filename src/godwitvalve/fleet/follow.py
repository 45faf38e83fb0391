"""Follows tables of the platform's store."""

from __future__ import annotations

import asyncio
from collections import abc
import random
from typing import Protocol

from godwitvalve.logs import setup as logs
from godwitvalve.platform import store as stores

# An idle wait costs one call; the store's connection is watched by
# keepalive probes meanwhile.
FEED_WAIT_S = 8.0
# First and longest pause after a failed call. A store that is down for
# seconds is asked about each second by each entry and table.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8

_LOG = logs.get('fleet')


class TableReader(Protocol):
    """Takes what a table holds."""

    def take_all(self, rows: list[stores.StoredRow], version: int) -> None:
        """Take all rows as of a version."""

    def take_changes(self, rows: list[stores.StoredRow]) -> None:
        """Take changed rows in order."""

    def lost(self) -> None:
        """Note that the store does not answer."""

    def regained(self) -> None:
        """Note that the store answers."""


class TableFollower:
    """Reads a table once and then its changes, for ever.

    :param pause_s: returns the pause between two calls, which lets changes
        that come together be read by one call.
    """

    def __init__(
        self,
        store: stores.StoreClient,
        table: str,
        reader: TableReader,
        pause_s: abc.Callable[[], float] = float,
    ) -> None:
        self._store = store
        self._table = table
        self._reader = reader
        self._pause_s = pause_s
        self._version: int | None = None
        self._newest_seen = 0
        self._is_away = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_pauses_s = _pauses()
        while True:
            try:
                await self._step()
            except stores.HistoryGone:
                _LOG.info('History is gone.', extra={'table': self._table})
                self._version = None
                continue
            except stores.StoreUnavailable as error:
                self._note_lost(str(error))
                await asyncio.sleep(next(retry_pauses_s))
                continue
            retry_pauses_s = _pauses()
            await asyncio.sleep(self._pause_s())

    async def _step(self) -> None:
        if self._version is None:
            answer = await self._store.rows(self._table)
            self._note_regained()
            if answer.version < self._newest_seen:
                # A reader behind the newest version; asked again.
                raise stores.StoreUnavailable('rows are out of date')
            self._reader.take_all(answer.rows, answer.version)
        else:
            answer = await self._store.changes(
                self._table, self._version, FEED_WAIT_S
            )
            self._note_regained()
            if answer.rows:
                self._reader.take_changes(answer.rows)
        self._version = max(answer.version, self._version or 0)
        self._newest_seen = max(self._newest_seen, answer.version)

    def _note_lost(self, reason: str) -> None:
        self._reader.lost()
        if not self._is_away:
            self._is_away = True
            _LOG.warning(
                'The store does not answer.',
                extra={'table': self._table, 'reason': reason},
            )

    def _note_regained(self) -> None:
        self._reader.regained()
        if self._is_away:
            self._is_away = False
            _LOG.info('The store answers again.', extra={'table': self._table})


def _pauses() -> abc.Iterator[float]:
    """Yield growing pauses with jitter, so that entries do not ask at once."""
    pause_s = FIRST_PAUSE_S
    while True:
        yield pause_s * random.uniform(0.5, 1.0)
        pause_s = min(pause_s * 2, LONGEST_PAUSE_S)
