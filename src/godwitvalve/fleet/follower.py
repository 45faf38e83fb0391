"""Follows the tables of the platform's store."""

from __future__ import annotations

import asyncio
from collections import abc
import random
from typing import Protocol

from godwitvalve.fleet import relay as relays
from godwitvalve.fleet import sources
from godwitvalve.logs import setup as logs
from godwitvalve.platform import store as stores

# First and longest pause after a failed call. While the store is down for
# seconds, each entry retries about every second for each table.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8

_LOG = logs.get('fleet')


class TableConsumer(Protocol):
    """Applies the rows of a table."""

    def apply_snapshot(
        self, rows: list[stores.StoredRow], version: int
    ) -> None:
        """Replace the known rows with all rows as of a version."""

    def apply_changes(self, rows: list[stores.StoredRow]) -> None:
        """Apply changed rows in the order of their versions."""

    def mark_store_unavailable(self) -> None:
        """Handle the loss of the store."""

    def mark_store_available(self, trusted_from_s: float) -> None:
        """Handle an answer of the store.

        :param trusted_from_s: monotonic seconds before which removals are
            not trusted.
        """

    def trusted_from_s(self) -> float:
        """Return the monotonic seconds from which removals are trusted."""


class TableSources(Protocol):
    """Selects the source of each read."""

    def choose(self) -> tuple[sources.TableSource, str]:
        """Return a source and its instance id, empty for the store."""

    def wait_s(self, table: str) -> float:
        """Return the seconds that a call may wait for changes."""

    def mark_failed(self, instance_id: str) -> None:
        """Avoid an entry that did not relay current rows."""


class TableFollower:
    """Reads a table once and then its changes until cancelled.

    :param relay: receives the rows that were read, for other entries.
    :param pause_s: returns the seconds between two calls; a pause lets one
        call read changes that occur together.
    """

    def __init__(
        self,
        table_sources: TableSources,
        table: str,
        consumer: TableConsumer,
        relay: relays.TableRelay,
        pause_s: abc.Callable[[], float] = float,
    ) -> None:
        self._sources = table_sources
        self._table = table
        self._consumer = consumer
        self._relay = relay
        self._pause_s = pause_s
        self._version: int | None = None
        self._newest_version = 0
        self._is_store_unavailable = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_pauses_s = _pauses()
        while True:
            source, instance_id = self._sources.choose()
            try:
                await self._step(source)
            except stores.HistoryExpired:
                _LOG.info(
                    'Change history expired; reading the whole table.',
                    extra={'table': self._table},
                )
                self._version = None
                continue
            except stores.StoreUnavailable as error:
                if instance_id:
                    self._mark_source_failed(instance_id, str(error))
                    continue
                self._mark_unavailable(str(error))
                await asyncio.sleep(next(retry_pauses_s))
                continue
            retry_pauses_s = _pauses()
            await asyncio.sleep(self._pause_s())

    def _mark_source_failed(self, instance_id: str, reason: str) -> None:
        self._sources.mark_failed(instance_id)
        _LOG.info(
            'Entry did not relay a current table.',
            extra={
                'table': self._table,
                'entry': instance_id,
                'reason': reason,
            },
        )

    async def _step(self, source: sources.TableSource) -> None:
        if self._version is None:
            answer = await source.rows(self._table)
            if answer.version < self._newest_version:
                # The source lags behind a version read before; retry.
                raise stores.StoreUnavailable('source returned an old version')
            self._mark_available(answer)
            self._consumer.apply_snapshot(answer.rows, answer.version)
            await self._relay.update(self._with_trust(answer), True)
        else:
            # After an outage, an answer at once tells when the store is back;
            # removals are not trusted for some time from then.
            wait_s = (
                0.0
                if self._is_store_unavailable
                else self._sources.wait_s(self._table)
            )
            answer = await source.changes(self._table, self._version, wait_s)
            self._mark_available(answer)
            if answer.rows:
                self._consumer.apply_changes(answer.rows)
            await self._relay.update(self._with_trust(answer), False)
        self._version = max(answer.version, self._version or 0)
        self._newest_version = max(self._newest_version, answer.version)

    def _with_trust(self, answer: sources.TableAnswer) -> sources.TableAnswer:
        return answer._replace(trusted_from_s=self._consumer.trusted_from_s())

    def _mark_unavailable(self, reason: str) -> None:
        self._consumer.mark_store_unavailable()
        if not self._is_store_unavailable:
            self._is_store_unavailable = True
            _LOG.warning(
                'Store is unavailable.',
                extra={'table': self._table, 'reason': reason},
            )

    def _mark_available(self, answer: sources.TableAnswer) -> None:
        self._consumer.mark_store_available(answer.trusted_from_s)
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            _LOG.info(
                'Store is available again.', extra={'table': self._table}
            )


def _pauses() -> abc.Iterator[float]:
    """Yield growing pauses; jitter spreads the calls of the entries."""
    pause_s = FIRST_PAUSE_S
    while True:
        yield pause_s * random.uniform(0.5, 1.0)
        pause_s = min(pause_s * 2, LONGEST_PAUSE_S)
