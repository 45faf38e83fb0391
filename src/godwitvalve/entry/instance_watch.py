"""Follows the platform's instance list and the text's endpoints."""

from __future__ import annotations

import asyncio

from godwitvalve.entry import context as contexts
from godwitvalve.entry import endpoint_table
from godwitvalve.logs import setup as logs
from godwitvalve.platform import port

LIST_INTERVAL_S = 1.0

_LOG = logs.get('instances')


class InstanceWatch:
    """Task that keeps members and endpoints up to date."""

    def __init__(self, context: contexts.EntryContext) -> None:
        self._context = context
        self._table = endpoint_table.EndpointTable()
        self._listed: list[port.ListedInstance] = []

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            await self._read_list()
            self.apply()
            await asyncio.sleep(LIST_INTERVAL_S)

    async def _read_list(self) -> None:
        context = self._context
        asked_s = context.clock.monotonic_s()
        try:
            self._listed = await context.platform.instances()
        except port.PlatformUnavailable as error:
            _LOG.info('The instance list was not read: %s.', error)
            return
        context.node.update_members(self._listed)
        live = [
            item.instance_id
            for item in self._listed
            if item.kind == 'entry' and item.state == 'live'
        ]
        context.refresher.tracker.set_listed(live)
        context.shares.update_members(
            live, asked_s, context.clock.monotonic_s()
        )

    def apply(self) -> None:
        """Give the router and the move board the present endpoints."""
        context = self._context
        configuration = context.configuration
        if configuration is None:
            return
        now_s = context.clock.monotonic_s()
        found = self._table.join(configuration, self._listed, now_s)
        used = endpoint_table.choose_used(
            context.instance_id, found.endpoints, context.board.carriers()
        )
        context.router.update_endpoints(used, now_s, found.leaving_ids)
        context.board.set_endpoints(
            item
            for item in found.endpoints
            if item.endpoint_id not in found.leaving_ids
        )
