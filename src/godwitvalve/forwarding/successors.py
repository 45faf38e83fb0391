"""Finds the next start of a crashed endpoint while the store is away."""

from __future__ import annotations

import asyncio
from collections import abc

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import state as states
from godwitvalve.forwarding import probes
from godwitvalve.logs import setup as logs

PROBE_PERIOD_S = 0.2
# Left of the time in which an address is not given to another service, for
# the way of the probe's answer.
REUSE_MARGIN_S = 0.2

_LOG = logs.get('forwarding')


class SuccessorSearch:
    """Probes the address of an endpoint that was lost.

    Load pattern: the endpoints of a zone crash and start again while the
    store is down, so that nobody can read their new ids, and the rest of
    the service takes the whole load until the store returns.

    An address is not given to another service sooner than
    ``address_reuse_s`` after the end of its endpoint. Whoever answers there
    within that time after the endpoint was last heard is its next start.

    :param is_store_reachable: tells whether the store answers now.
    :param on_found: called with the endpoint that was found.
    """

    def __init__(
        self,
        state: states.FleetState,
        address_reuse_s: float,
        is_store_reachable: abc.Callable[[], abc.Awaitable[bool]],
        on_found: abc.Callable[[endpoints.FleetEndpoint], None],
    ) -> None:
        self._state = state
        self._address_reuse_s = address_reuse_s
        self._is_store_reachable = is_store_reachable
        self._on_found = on_found
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def begin(
        self, endpoint: endpoints.FleetEndpoint, last_activity_s: float
    ) -> None:
        """Search for the successor of an endpoint.

        :param last_activity_s: when it sent bytes, on the loop's clock.
        """
        endpoint_id = endpoint.endpoint_id
        if endpoint_id in self._tasks:
            return
        task = asyncio.create_task(self._search(endpoint, last_activity_s))
        self._tasks[endpoint_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(endpoint_id, None))

    def stop(self) -> None:
        """End all searches."""
        for task in list(self._tasks.values()):
            task.cancel()

    async def _search(
        self, endpoint: endpoints.FleetEndpoint, last_activity_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        until_s = last_activity_s + self._address_reuse_s - REUSE_MARGIN_S
        if loop.time() >= until_s or await self._is_store_reachable():
            return
        while loop.time() < until_s:
            found = await probes.read_identity(
                endpoint.address, self._health_path(endpoint.service)
            )
            if found == endpoint.endpoint_id:
                return
            if found and loop.time() < until_s:
                self._report_found(endpoint, found)
                return
            await asyncio.sleep(PROBE_PERIOD_S)

    def _health_path(self, service: str) -> str:
        configuration = self._state.configuration
        facts = configuration.services.get(service) if configuration else None
        return facts.health_path if facts else '/'

    def _report_found(
        self, endpoint: endpoints.FleetEndpoint, found: str
    ) -> None:
        _LOG.info(
            'A new start is used before it is listed.',
            extra={
                'endpoint_id': found,
                'address': endpoint.address,
                'predecessor': endpoint.endpoint_id,
            },
        )
        self._on_found(endpoint._replace(endpoint_id=found, started_wall_ms=0))
