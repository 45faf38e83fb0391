"""Finds out whether endpoints that broke off answers have crashed."""

from __future__ import annotations

import asyncio
from collections import abc
from typing import TypeAlias

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import probes
from godwitvalve.logs import setup as logs
from godwitvalve.quarantine import crashes as crash_model

# A process that ends may close its listener after its other connections.
SECOND_LOOK_S = 0.25

_LOG = logs.get('forwarding')

RecordCrash: TypeAlias = abc.Callable[
    [endpoints.FleetEndpoint, list[crash_model.Suspect], float], None
]


class CrashChecks:
    """Checks endpoints, once for all answers that they broke off.

    An endpoint that broke off a single answer still accepts connections.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, list[crash_model.Suspect]] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._second_looks: set[asyncio.Task[None]] = set()

    def begin(
        self,
        endpoint: endpoints.FleetEndpoint,
        suspect: crash_model.Suspect,
        record_crash: RecordCrash,
    ) -> asyncio.Future[None]:
        """Begin to check an endpoint that broke off the answer to a suspect.

        :param record_crash: called with a crashed endpoint, the suspects
            and the time, on the loop's clock.
        :returns: done after the first look, whose result is recorded by
            then. Its cancellation does not end the check.
        """
        name = endpoint.endpoint_id
        self._suspects.setdefault(name, []).append(suspect)
        if name not in self._checks:
            self._checks[name] = asyncio.create_task(
                self._look(endpoint, record_crash)
            )
        # The check of the others goes on if one caller leaves.
        return asyncio.shield(self._checks[name])

    async def _look(
        self, endpoint: endpoints.FleetEndpoint, record_crash: RecordCrash
    ) -> None:
        at_s = asyncio.get_running_loop().time()
        try:
            is_alive = await probes.accepts_connections(endpoint.address)
        finally:
            suspects = self._suspects.pop(endpoint.endpoint_id)
            del self._checks[endpoint.endpoint_id]
        if not is_alive:
            record_crash(endpoint, suspects, at_s)
            return
        second = asyncio.create_task(
            self._look_again(endpoint, suspects, at_s, record_crash)
        )
        self._second_looks.add(second)
        second.add_done_callback(self._second_looks.discard)

    async def _look_again(
        self,
        endpoint: endpoints.FleetEndpoint,
        suspects: list[crash_model.Suspect],
        at_s: float,
        record_crash: RecordCrash,
    ) -> None:
        await asyncio.sleep(SECOND_LOOK_S)
        if not await probes.accepts_connections(endpoint.address):
            record_crash(endpoint, suspects, at_s)
            return
        _LOG.info(
            'Endpoint broke off answers and accepts connections.',
            extra={
                'endpoint_id': endpoint.endpoint_id,
                'prompts': [sorted(each.segments) for each in suspects],
            },
        )

    def stop(self) -> None:
        """Cancel all checks."""
        for task in (*self._checks.values(), *self._second_looks):
            task.cancel()
