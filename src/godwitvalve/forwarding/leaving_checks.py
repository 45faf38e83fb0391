"""Asks endpoints that stated that they leave whether they still do."""

from __future__ import annotations

import asyncio

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import state as states
from godwitvalve.forwarding import probes
from godwitvalve.logs import setup as logs

_LOG = logs.get('forwarding')


class LeavingChecks:
    """Probes endpoints that are not used because of what they stated.

    A statement may be wrong, or its endpoint may have started again under
    its id while the store can't be read. Requests must not tell, as the
    endpoint may be about to end.
    """

    def __init__(self, state: states.FleetState) -> None:
        self._state = state
        self._tasks: set[asyncio.Task[None]] = set()

    def begin_due(self) -> None:
        """Probe the endpoints whose turn it is."""
        now_s = asyncio.get_running_loop().time()
        for endpoint in self._state.registry.due_confirmations(now_s):
            task = asyncio.create_task(self._check(endpoint))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel all probes."""
        for task in list(self._tasks):
            task.cancel()

    async def _check(self, endpoint: endpoints.FleetEndpoint) -> None:
        found = await probes.read_identity(
            endpoint.address, self._state.health_path(endpoint.service)
        )
        if found != endpoint.endpoint_id:
            return
        _LOG.info(
            'Using an endpoint again that does not leave.',
            extra={'endpoint_id': endpoint.endpoint_id},
        )
        self._state.registry.withdraw_leaving(endpoint)
