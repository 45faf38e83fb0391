"""Finds restarted endpoints while the store is unavailable."""

from __future__ import annotations

import asyncio
from collections import abc

from godwitvalve import clock
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import state as states
from godwitvalve.forwarding import probes
from godwitvalve.logs import setup as logs

PROBE_PERIOD_S = 0.2
# Part of the address reuse time that is left for the probe's answer to
# arrive.
REUSE_MARGIN_S = 0.2

_LOG = logs.get('forwarding')


class SuccessorSearch:
    """Probes the address of a lost endpoint for its successor.

    If the endpoints of a failure domain crash and restart while the store
    is down, their new ids can't be read, and the other endpoints of the
    service carry the whole load until the store returns.

    An address is not assigned to another service sooner than
    ``address_reuse_s`` after the end of its endpoint. An endpoint that
    answers there within that time after the lost one lived for sure is
    therefore the restarted one.

    :param last_seen_s: returns when an endpoint lived for sure, from when its
        bytes arrived last without a pause.
    :param address_reuse_s: may be changed; searches under way use it, too.
    :param is_store_reachable: returns whether the store answers now.
    :param on_found: called with the endpoint that was found.
    :param clock_s: seconds since boot.
    """

    def __init__(
        self,
        state: states.FleetState,
        last_seen_s: abc.Callable[[endpoints.FleetEndpoint, float], float],
        address_reuse_s: float,
        is_store_reachable: abc.Callable[[], abc.Awaitable[bool]],
        on_found: abc.Callable[[endpoints.FleetEndpoint], None],
        clock_s: abc.Callable[[], float] = clock.since_boot_s,
    ) -> None:
        self._state = state
        self._last_seen_s = last_seen_s
        self.address_reuse_s = address_reuse_s
        self._is_store_reachable = is_store_reachable
        self._on_found = on_found
        self._clock_s = clock_s
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def begin(
        self, endpoint: endpoints.FleetEndpoint, steady_s: float
    ) -> None:
        """Start a search for the successor of an endpoint.

        :param steady_s: when its bytes arrived last without a pause, in
            seconds since boot.
        """
        endpoint_id = endpoint.endpoint_id
        if endpoint_id in self._tasks:
            return
        last_seen_s = self._last_seen_s(endpoint, steady_s)
        task = asyncio.create_task(self._search(endpoint, last_seen_s))
        self._tasks[endpoint_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(endpoint_id, None))

    def stop(self) -> None:
        """Cancel all searches."""
        for task in list(self._tasks.values()):
            task.cancel()

    async def _search(
        self, endpoint: endpoints.FleetEndpoint, last_seen_s: float
    ) -> None:
        if not self._is_reserved(last_seen_s):
            return
        if await self._is_store_reachable():
            return
        while self._is_reserved(last_seen_s):
            found = await probes.read_identity(
                endpoint.address, self._state.health_path(endpoint.service)
            )
            if found == endpoint.endpoint_id:
                return
            if found and self._is_reserved(last_seen_s):
                self._report_found(endpoint, found, last_seen_s)
                return
            await asyncio.sleep(PROBE_PERIOD_S)

    def _is_reserved(self, last_seen_s: float) -> bool:
        """Tell whether the address belongs to no other service yet."""
        until_s = last_seen_s + self.address_reuse_s - REUSE_MARGIN_S
        return self._clock_s() < until_s

    def _report_found(
        self,
        endpoint: endpoints.FleetEndpoint,
        found: str,
        last_seen_s: float,
    ) -> None:
        _LOG.info(
            'Using a restarted endpoint that the store does not list yet.',
            extra={
                'endpoint_id': found,
                'address': endpoint.address,
                'predecessor': endpoint.endpoint_id,
                'seen_before_s': round(self._clock_s() - last_seen_s, 3),
            },
        )
        self._on_found(endpoint._replace(endpoint_id=found, started_wall_ms=0))
