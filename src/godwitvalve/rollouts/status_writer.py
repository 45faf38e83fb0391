"""Synchronises the state of roll-outs with the platform's store."""

from __future__ import annotations

import asyncio
from collections import abc
import time

from godwitvalve.lifecycle import supervision
from godwitvalve.logs import repeats
from godwitvalve.logs import setup as logs
from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import rollouts as wire_rollouts
from godwitvalve.platform import store as stores
from godwitvalve.rollouts import orders
from godwitvalve.rollouts import registry as registries
from godwitvalve.rollouts import rollout as rollouts

PERIOD_S = 0.2
# The live entry with the smallest id writes first. Each further one waits
# this much longer, in case those before it cannot reach the store.
RANK_DELAY_S = 0.8
MAX_RANK_DELAY_S = 4.0
# Time in which an entry reads the order that replaced its own.
SUPERSEDED_PAUSE_S = 1.0

_LOG = logs.get('rollouts')
_FAILURES = supervision.FailureLog(_LOG)


class StatusWriter:
    """Writes pending states to the store and reads those of others.

    The status row is written only if it is unchanged since it was read,
    and only over a state that the pending one may follow. A lost answer, a
    late write or two concurrent writers thus cannot replace a final state
    by another one.

    :param rank: returns the position of this entry among the live ones.
    :param on_change: called after a change to report to other entries.
    """

    def __init__(
        self,
        store: stores.StoreClient,
        registry: registries.RolloutRegistry,
        rank: abc.Callable[[], int],
        on_change: abc.Callable[[], None],
    ) -> None:
        self._store = store
        self._registry = registry
        self._rank = rank
        self._on_change = on_change
        self._logged_rows = repeats.RepeatFilter()
        self._pending_since_s: dict[tuple[str, int, int, int, int], float] = {}

    async def run(self) -> None:
        """Synchronise pending states with the store until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            for each in list(self._registry.all()):
                with _FAILURES.isolate('synchronise a roll-out'):
                    if self._is_due(each, time.monotonic()):
                        await self._synchronise(each)

    def _is_due(self, each: rollouts.Rollout, now_s: float) -> bool:
        pending = each.pending_state()
        if pending is None:
            return False
        since_s = self._pending_since_s.setdefault(
            _pending_key(each, pending), now_s
        )
        return now_s - since_s >= min(
            self._rank() * RANK_DELAY_S, MAX_RANK_DELAY_S
        )

    async def _synchronise(self, each: rollouts.Rollout) -> None:
        try:
            answer = await self._store.rows(wire_rollouts.STATUS_TABLE)
            began_at_s = time.monotonic()
            status = self._status(each, answer)
            pending = each.pending_state()
            if status.order_version == each.order.row_version:
                stored_began_s = (
                    began_at_s - (answer.now_ms - status.began_ms) / 1000
                )
                each.began_s = min(each.began_s, stored_began_s)
                each.is_stored = (
                    status.state.is_final or not each.state.is_final
                )
                each.advance(status.state, 'store')
            if pending is None or status.state.is_final:
                self._on_change()
                return
            if await self._is_superseded(each, status):
                # Asked again in case the order of the status is taken back.
                self._pending_since_s[_pending_key(each, pending)] = (
                    time.monotonic() + SUPERSEDED_PAUSE_S
                )
                _LOG.info(
                    'Kept the status of a newer roll-out.',
                    extra={
                        'service': each.order.service,
                        'order': each.order.row_version,
                        'stored_order': status.order_version,
                    },
                )
                return
            elapsed_ms = int(each.elapsed_s(began_at_s) * 1000)
            written = await self._write(
                each,
                pending,
                answer.now_ms - elapsed_ms,
                status.row_version,
                answer.era,
            )
        except stores.StoreUnavailable as error:
            _LOG.warning(
                'Cannot synchronise the roll-out with the store.',
                extra={
                    'service': each.order.service,
                    'reason': str(error),
                },
            )
            return
        if written:
            each.is_stored = True
            each.advance(pending, 'written')
        self._on_change()

    async def _is_superseded(
        self, each: rollouts.Rollout, status: orders.RolloutStatus
    ) -> bool:
        """Tell whether the stored status is that of a newer order.

        A store that was restored gives out versions again, so that a greater
        one alone does not tell: the order must also be gone from the store.

        :raises StoreUnavailable: if the store gave no usable answer.
        """
        if status.order_version <= each.order.row_version:
            return False
        answer = await self._store.rows(wire_configuration.TABLE)
        return not any(
            wire_rollouts.is_order(row.key)
            and row.version == each.order.row_version
            for row in answer.rows
        )

    def _status(
        self, each: rollouts.Rollout, answer: stores.RowsAnswer
    ) -> orders.RolloutStatus:
        """Return the stored status of the order.

        Without one, or with that of another order, it is a running status of
        order version 0, or of the version of that order if it is greater.
        """
        key = wire_rollouts.status_key(each.order.service)
        no_status = orders.RolloutStatus(0, orders.RolloutState.RUNNING, 0, 0)
        row = next((row for row in answer.rows if row.key == key), None)
        if row is None or row.value is None:
            return no_status
        try:
            status = wire_rollouts.decode_status(row.value, row.version)
        except wire_rollouts.InvalidRollout as error:
            if self._logged_rows.admits(key, time.monotonic()):
                _LOG.warning(
                    'Stored roll-out status is invalid.',
                    extra={'key': key, 'reason': str(error)},
                )
            return no_status._replace(row_version=row.version)
        if (status.order_version, status.version) != (
            each.order.row_version,
            each.order.version,
        ):
            # The status belongs to another order.
            newer = status.order_version > each.order.row_version
            return no_status._replace(
                order_version=status.order_version if newer else 0,
                row_version=row.version,
            )
        return status

    async def _write(
        self,
        each: rollouts.Rollout,
        state: orders.RolloutState,
        began_ms: int,
        row_version: int,
        era: int | None,
    ) -> bool:
        return await self._store.write_if(
            wire_rollouts.STATUS_TABLE,
            wire_rollouts.status_key(each.order.service),
            wire_rollouts.encode_status(each.order, state, began_ms),
            row_version,
            era,
        )


def _pending_key(
    each: rollouts.Rollout, pending: orders.RolloutState
) -> tuple[str, int, int, int, int]:
    order = each.order
    return order.service, *order.revision, int(pending), each.store_era
