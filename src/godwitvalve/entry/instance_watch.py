"""Follows the platform's instance list and the text's endpoints."""

from __future__ import annotations

import asyncio

from godwitvalve.entry import context as contexts
from godwitvalve.entry import endpoint_table
from godwitvalve.logs import setup as logs
from godwitvalve.store import port

APPLY_INTERVAL_S = 1.0
# The platform serves about 2,000 reads/s for everything. The entries
# together read the list at most this often, and less often than every 4.5 s
# would leave less than two tries in the 10 s of a confirmation.
LIST_READS_PER_S = 100.0
MAX_LIST_INTERVAL_S = 4.5

# Claims a second over all entries; with their outcomes twice as many writes
# of the several hundred that the table service takes.
CLAIMS_PER_S = 100.0

_LOG = logs.get('instances')


def list_interval_s(entries: int) -> float:
    """Return seconds between two reads of the list by one entry.

    Leaving endpoints do not wait for it: their load reports tell it.
    """
    shared_s = entries / LIST_READS_PER_S
    return min(MAX_LIST_INTERVAL_S, max(APPLY_INTERVAL_S, shared_s))


class InstanceWatch:
    """Task that keeps members and endpoints up to date."""

    def __init__(self, context: contexts.EntryContext) -> None:
        self._context = context
        self._table = endpoint_table.EndpointTable()
        self._listed: list[port.ListedInstance] = []
        self._next_read_s = 0.0

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            # Two ticks are never exactly an interval apart.
            soon_s = self._context.clock.monotonic_s() + APPLY_INTERVAL_S / 2
            if soon_s >= self._next_read_s:
                await self._read_list()
            self.apply()
            await asyncio.sleep(APPLY_INTERVAL_S)

    async def _read_list(self) -> None:
        context = self._context
        requested_s = context.clock.monotonic_s()
        try:
            self._listed = await context.platform.instances()
        except port.PlatformUnavailable as error:
            _LOG.info('The instance list was not read: %s.', error)
            return
        entries = sum(item.kind == 'entry' for item in self._listed)
        self._next_read_s = requested_s + list_interval_s(entries)
        context.node.update_members(self._listed)
        # Each client-chosen key costs one claim and one outcome.
        context.claim_budget.set_rate(CLAIMS_PER_S / max(entries, 1))
        listed = [item for item in self._listed if item.kind == 'entry']
        context.refresher.tracker.set_listed(
            item.instance_id for item in listed if item.state == 'live'
        )
        # An entry that is leaving still admits, so it keeps its share.
        context.shares.update_members(
            [item.instance_id for item in listed],
            requested_s,
            context.clock.monotonic_s(),
        )

    def apply(self) -> None:
        """Give the router and the move tracker the current endpoints."""
        context = self._context
        configuration = context.configuration
        if configuration is None:
            return
        now_s = context.clock.monotonic_s()
        found = self._table.join(configuration, self._listed, now_s)
        used = endpoint_table.select_endpoints(
            context.instance_id,
            found.endpoints,
            context.move_tracker.canary_endpoints(),
        )
        context.router.update_endpoints(used, now_s, found.leaving_ids)
        context.move_tracker.set_endpoints(
            item
            for item in found.endpoints
            if item.endpoint_id not in found.leaving_ids
        )
