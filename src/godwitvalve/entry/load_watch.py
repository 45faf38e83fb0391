"""Polls load reports and probes endpoints over new connections."""

from __future__ import annotations

import asyncio

from godwitvalve.engine import port as engine_port
from godwitvalve.entry import context as contexts
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import results
from godwitvalve.services import port as service_port

# Load reports show that an endpoint is leaving; it must get no new work after
# 3 s.
LOAD_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 0.25
MAX_CONCURRENT_READS = 32


class LoadWatch:
    """Task that polls and probes the endpoints that this entry uses.

    :param report_engines: client with persistent connections, for load
        reports.
    :param probe_engines: client that connects anew for each probe.
    """

    def __init__(
        self,
        context: contexts.EntryContext,
        report_engines: engine_port.Engine,
        probe_engines: engine_port.Engine,
    ) -> None:
        self._context = context
        self._report_engines = report_engines
        self._probe_engines = probe_engines
        self._read_slots = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def run(self) -> None:
        """Poll and probe until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_loads())
            group.create_task(self._probe())

    async def _poll_loads(self) -> None:
        router = self._context.router
        while True:
            due = [view.endpoint for view in router.views()]
            await asyncio.gather(*(self._read_load(item) for item in due))
            await asyncio.sleep(LOAD_INTERVAL_S)

    async def _probe(self) -> None:
        context = self._context
        while True:
            now_s = context.clock.monotonic_s()
            due = context.router.endpoints_to_probe(now_s)
            await asyncio.gather(*(self._probe_one(item) for item in due))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _read_load(self, endpoint: endpoint_model.Endpoint) -> None:
        report = await self._load(endpoint, self._report_engines)
        if report is not None:
            now_s = self._context.clock.monotonic_s()
            self._context.router.report_load(
                endpoint.endpoint_id, report, now_s
            )

    async def _probe_one(self, endpoint: endpoint_model.Endpoint) -> None:
        report = await self._load(endpoint, self._probe_engines)
        result = report or results.ConnectFailed(refused=False)
        now_s = self._context.clock.monotonic_s()
        self._context.router.record_probe(endpoint.endpoint_id, result, now_s)

    async def _load(
        self,
        endpoint: endpoint_model.Endpoint,
        engine: engine_port.Engine,
    ) -> engine_port.LoadReport | None:
        async with self._read_slots:
            try:
                if self._is_model(endpoint.service):
                    return await engine.load(endpoint)
                return await self._context.plain_service.load(endpoint)
            except (engine_port.EngineError, service_port.ServiceUnavailable):
                return None

    def _is_model(self, service: str) -> bool:
        configuration = self._context.configuration
        found = configuration.service(service) if configuration else None
        return found is None or found.kind == 'model'
