"""Polls the platform's instance list and updates members and endpoints."""

from __future__ import annotations

import asyncio

from godwitvalve.entry import context as contexts
from godwitvalve.entry import endpoint_table
from godwitvalve.logs import setup as logs
from godwitvalve.store import port

APPLY_INTERVAL_S = 1.0
# Bound for all entries together; the platform serves about 2,000 reads/s in
# total.
LIST_READS_PER_S = 100.0
# A longer interval would leave fewer than two attempts within the 10 s that a
# confirmation is valid.
MAX_LIST_INTERVAL_S = 4.5

# Bound for all entries together. Each claim costs a second write for its
# outcome, and the table service accepts several hundred writes/s.
CLAIMS_PER_S = 100.0

_LOG = logs.get('instances')


def list_interval_s(entries: int) -> float:
    """Return the seconds between two reads of the list by one entry.

    Leaving endpoints are excluded earlier, by their load reports.

    :param entries: number of listed entries.
    """
    shared_s = entries / LIST_READS_PER_S
    return min(MAX_LIST_INTERVAL_S, max(APPLY_INTERVAL_S, shared_s))


class InstanceWatch:
    """Task that updates the members, the endpoints and their shares."""

    def __init__(self, context: contexts.EntryContext) -> None:
        self._context = context
        self._table = endpoint_table.EndpointTable()
        self._listed: list[port.ListedInstance] = []
        self._next_read_s = 0.0

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            # Ticks jitter around the interval, so a read that is due within
            # half an interval is done now.
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
            _LOG.info('Could not read the instance list: %s.', error)
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
        # A leaving entry still admits requests, so it keeps its share.
        context.shares.update_members(
            [item.instance_id for item in listed],
            requested_s,
            context.clock.monotonic_s(),
        )

    def apply(self) -> None:
        """Update the endpoints of the router and the move tracker."""
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
