"""Follows the tables of the platform's store."""

from __future__ import annotations

import asyncio
from collections import abc
import random
import time
from typing import Any, Protocol

from godwitvalve.fleet import eras
from godwitvalve.fleet import poll_checks
from godwitvalve.fleet import relay as relays
from godwitvalve.fleet import sources
from godwitvalve.logs import setup as logs
from godwitvalve.platform import store as stores

# First and longest pause after a failed call. While the store is down for
# seconds, each entry retries about every second for each table.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
# Stale reads of the store lag by up to 3 s. A store that is behind for longer
# was restored without stating a new era.
MAX_LAG_S = 3.5
# A call that took longer waited for its first change: a degraded store takes
# 0.24 s to answer.
WAITED_S = 0.5
# How often a poll that waits is checked.
CHECK_PERIOD_S = 0.1

_LOG = logs.get('fleet')


class TableConsumer(Protocol):
    """Applies the rows of a table."""

    def apply_snapshot(
        self, rows: list[stores.StoredRow], revision: stores.StoreRevision
    ) -> None:
        """Replace the known rows with all rows as of a revision."""

    def apply_changes(self, rows: list[stores.StoredRow]) -> None:
        """Apply changed rows in the order of their versions."""

    def mark_current(self, revision: stores.StoreRevision) -> None:
        """Handle an answer that completes the changes up to a revision."""

    def mark_store_restored(self) -> None:
        """Handle the return of the store from an older copy.

        The next rows are those of the copy, and of what was written since.
        """

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
    :param era: wakes the follower when the store may have been restored.
    :param pause_s: returns the seconds between two calls; a pause lets one
        call read changes that occur together.
    :param checks: decides when a poll that may be silent is ended.
    :param on_check: called with the reason of each such end.
    """

    def __init__(
        self,
        table_sources: TableSources,
        table: str,
        consumer: TableConsumer,
        relay: relays.TableRelay,
        pause_s: abc.Callable[[], float] = float,
        era: eras.StoreEra | None = None,
        checks: poll_checks.PollChecks | None = None,
        on_check: abc.Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._sources = table_sources
        self._table = table
        self._consumer = consumer
        self._relay = relay
        self._pause_s = pause_s
        self._era = era or eras.StoreEra()
        self._checks = checks or poll_checks.PollChecks()
        self._on_check = on_check
        # Whether the last poll was ended to ask the store at once.
        self._was_ended = False
        # Revision up to which the table was read; None if it must be read.
        self._revision: stores.StoreRevision | None = None
        self._newest: stores.StoreRevision | None = None
        self._lagging_since_s: float | None = None
        self._seen_change_count = 0
        self._is_store_unavailable = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_pauses_s = _pauses()
        # Whether no changes could be read since the table was read last.
        is_without_changes = False
        while True:
            source, instance_id = self._sources.choose()
            reads_changes = self._revision is not None
            try:
                await self._step(source, is_relayed=bool(instance_id))
            except stores.HistoryExpired:
                _LOG.info(
                    'Change history expired; reading the whole table.',
                    extra={'table': self._table, 'revision': self._revision},
                )
                self._revision = None
                if is_without_changes:
                    await asyncio.sleep(next(retry_pauses_s))
                is_without_changes = True
                continue
            except stores.StoreUnavailable as error:
                if instance_id:
                    self._mark_source_failed(instance_id, str(error))
                    continue
                self._mark_unavailable(str(error))
                await asyncio.sleep(next(retry_pauses_s))
                continue
            if reads_changes:
                retry_pauses_s = _pauses()
                is_without_changes = False
            if not self._was_ended:
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

    async def _step(
        self, source: sources.TableSource, is_relayed: bool
    ) -> None:
        if self._revision is None:
            await self._read_table(source, is_relayed)
        else:
            await self._read_changes(source, self._revision, is_relayed)

    async def _read_table(
        self, source: sources.TableSource, is_relayed: bool
    ) -> None:
        answer = self._with_era(await source.rows(self._table))
        read = answer.revision
        if self._newest is not None:
            self._check_lag(read, self._newest, is_relayed)
            if read.era != self._newest.era or read < self._newest:
                _LOG.warning(
                    'Store came back from an older copy.',
                    extra={
                        'table': self._table,
                        'revision': read,
                        'known_revision': self._newest,
                    },
                )
                self._consumer.mark_store_restored()
        self._lagging_since_s = None
        self._mark_available(answer)
        self._consumer.apply_snapshot(answer.rows, read)
        await self._relay.update(self._with_trust(answer), True)
        self._checks.record_read(answer.rows, read)
        self._revision = self._newest = read
        if self._era.is_settled(read.era):
            self._seen_change_count = self._era.change_count

    def _check_lag(
        self,
        read: stores.StoreRevision,
        newest: stores.StoreRevision,
        is_relayed: bool,
    ) -> None:
        """Check that a source has all changes that were read before.

        Another entry that lags behind is not used. The store itself tells of
        a restore by its era; without one, it is taken for restored if it is
        behind for longer than stale reads are.

        :raises StoreUnavailable: if the source lags behind.
        """
        if read >= newest or (not is_relayed and read.era != newest.era):
            return
        now_s = time.monotonic()
        if not is_relayed:
            self._lagging_since_s = self._lagging_since_s or now_s
            if now_s - self._lagging_since_s >= MAX_LAG_S:
                return
        raise stores.StoreUnavailable('source returned an old version')

    async def _read_changes(
        self,
        source: sources.TableSource,
        after: stores.StoreRevision,
        is_relayed: bool,
    ) -> None:
        # After an outage, an answer at once tells when the store is back;
        # removals are not trusted for some time from then.
        has_change = self._era.change_count != self._seen_change_count
        self._seen_change_count = self._era.change_count
        wait_s = (
            0.0
            if self._is_store_unavailable or has_change or self._was_ended
            else self._sources.wait_s(self._table)
        )
        self._was_ended = False
        waited_from_s = time.monotonic() + WAITED_S
        raw_answer = await self._call_unless_doubted(
            source.changes(self._table, after, wait_s),
            poll_checks.Poll(time.monotonic(), 0.0 if is_relayed else wait_s),
        )
        if raw_answer is None:
            return
        answer = self._with_era(raw_answer)
        read = answer.revision
        if read.era != after.era:
            if is_relayed and read < after:
                raise stores.StoreUnavailable('source returned an old era')
            # Versions of another era mean other changes.
            raise stores.HistoryExpired
        self._mark_available(answer)
        if answer.rows:
            if not is_relayed and time.monotonic() >= waited_from_s:
                unchanged_version = answer.rows[0].version - 1
                self._consumer.mark_current(
                    stores.StoreRevision(read.era, unchanged_version)
                )
            self._consumer.apply_changes(answer.rows)
        await self._relay.update(self._with_trust(answer), False)
        self._checks.record_read(answer.rows, read)
        self._revision = self._newest = max(after, read)
        self._consumer.mark_current(self._revision)

    async def _call_unless_doubted(
        self,
        call: abc.Coroutine[Any, Any, sources.TableAnswer],
        poll: poll_checks.Poll,
    ) -> sources.TableAnswer | None:
        """Return the answer, or None if the store is to be asked again.

        A call that waits for changes may not end when the store returns from
        a copy, or if its connection is silent.
        """
        calling = asyncio.ensure_future(call)
        change = asyncio.ensure_future(
            self._era.wait_for_change(self._seen_change_count)
        )
        try:
            while not (calling.done() or change.done() or self._ends(poll)):
                await asyncio.wait(
                    {calling, change},
                    timeout=CHECK_PERIOD_S if poll.is_checked else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            return calling.result() if calling.done() else None
        finally:
            calling.cancel()
            change.cancel()

    def _ends(self, poll: poll_checks.Poll) -> bool:
        """Tell whether a poll is ended to ask the store at once."""
        reason = self._checks.end_reason(
            poll, self._sources.wait_s(self._table), time.monotonic()
        )
        if reason is None:
            return False
        self._was_ended = True
        self._on_check(reason)
        _LOG.info(
            'Ended a poll of the store that may be silent.',
            extra={
                'table': self._table,
                'reason': reason,
                'waited_s': round(time.monotonic() - poll.began_s, 1),
            },
        )
        return True

    def _with_era(self, answer: sources.TableAnswer) -> sources.TableAnswer:
        """Return an answer with its era; without one, it is the known one."""
        if answer.era is not None:
            return answer
        return answer._replace(era=self._newest.era if self._newest else 0)

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
