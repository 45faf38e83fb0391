"""Task that advances moves and stores and distributes their verdicts."""

from __future__ import annotations

import asyncio

from godwitvalve.configuration import in_force
from godwitvalve.entry import context as contexts
from godwitvalve.moves import verdict_rows
from godwitvalve.moves import verdicts
from godwitvalve.peers import messages
from godwitvalve.store import port
from godwitvalve.text import dependencies

STEP_INTERVAL_S = 0.5
REFRESH_INTERVAL_S = 1.0
# A verdict is announced repeatedly for this period, for peers that missed
# the first announcement while the store was down.
REBROADCAST_PERIOD_S = 60.0


class MoveWatch:
    """Advances the move tracker of one entry."""

    def __init__(self, context: contexts.EntryContext) -> None:
        self._context = context

    async def run(self) -> None:
        """Step and refresh until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._step())
            group.create_task(self._refresh())

    async def _step(self) -> None:
        context = self._context
        while True:
            for move_id in context.move_tracker.step(context.clock.wall_s()):
                self._announce(move_id)
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _refresh(self) -> None:
        context = self._context
        manager = context.move_tracker.verdicts
        while True:
            await self._check_dependencies()
            for moving in context.move_tracker.active_moves():
                await self._confirm(moving.move_id)
            await manager.flush(context.clock.monotonic_s())
            self._rebroadcast()
            await asyncio.sleep(REFRESH_INTERVAL_S)

    async def _confirm(self, move_id: str) -> None:
        """Confirm a verdict by the store, or by a majority of the entries."""
        context = self._context
        manager = context.move_tracker.verdicts
        requested_s = context.clock.monotonic_s()
        if await manager.refresh(move_id, requested_s):
            return
        majority_seen_s = context.refresher.tracker.majority_seen_at_s()
        if majority_seen_s >= requested_s - verdicts.SEND_LEASE_S:
            manager.confirm(move_id, majority_seen_s)

    def _announce(self, move_id: str) -> None:
        row = self._context.move_tracker.verdicts.row(move_id)
        if row is not None:
            self._context.node.broadcast(to_message(row))

    def _rebroadcast(self) -> None:
        context = self._context
        oldest_wall_s = context.clock.wall_s() - REBROADCAST_PERIOD_S
        for row in context.move_tracker.verdicts.rows():
            is_own = row.origin == context.instance_id
            if is_own and row.decided_wall_s >= oldest_wall_s:
                context.node.broadcast(to_message(row))

    async def _check_dependencies(self) -> None:
        context = self._context
        configuration = context.configuration
        if configuration is None:
            return
        ready = [
            version.move_id
            for version in context.move_tracker.unready()
            if await self._is_ready(configuration, version)
        ]
        context.move_tracker.set_ready(ready)

    async def _is_ready(
        self,
        configuration: in_force.InForceConfiguration,
        version: in_force.VersionInForce,
    ) -> bool:
        service = configuration.services[version.service]
        if not all(
            self._has_endpoint(configuration, dependency)
            for dependency in service.depends_on
        ):
            return False
        if not version.text.weights:
            return True
        try:
            return await self._context.platform.has(version.text.weights)
        except port.PlatformUnavailable:
            # A usable endpoint of this version has loaded the weights.
            usable = self._context.router.usable_count
            return usable(version.service, version.name) > 0

    def _has_endpoint(
        self,
        configuration: in_force.InForceConfiguration,
        dependency: dependencies.Dependency,
    ) -> bool:
        service = configuration.service(dependency.service)
        if service is None:
            return False
        names = (
            [dependency.version] if dependency.version else service.by_version
        )
        usable = self._context.router.usable_count
        return any(usable(dependency.service, name) for name in names)


def to_message(row: verdict_rows.VerdictRow) -> messages.VerdictAnnounced:
    """Return the peer message that announces a verdict."""
    return messages.VerdictAnnounced(row.move_id, row.encode())
