"""Control interface: state and tables for entries, metrics, explanations."""

from __future__ import annotations

import asyncio

from aiohttp import web
from aioprometheus import renderer
import msgspec

from godwitvalve.decoding import bounds
from godwitvalve.explanation import model as explanation_model
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import state as states
from godwitvalve.forwarding import context as contexts
from godwitvalve.ingress import compression
from godwitvalve.ingress import peer_tables
from godwitvalve.ingress import route_explanation

STATE_PATH = '/fleet/state'
METRICS_PATH = '/metrics'


class SharedState(msgspec.Struct, array_like=True):
    """Configuration and endpoints, for an entry that missed changes."""

    configuration: bytes
    listed: list[endpoints.FleetEndpoint]
    configuration_era: bounds.Era = 0
    is_compressed: bool = False
    configuration_last_era: bounds.Era = 0


class ControlHandler:
    """Serves the control address."""

    def __init__(
        self,
        context: contexts.ForwardingContext,
        state: states.FleetState,
        relay_server: peer_tables.RelayServer,
        explainer: route_explanation.RouteExplainer,
    ) -> None:
        self._context = context
        self._state = state
        self._relay_server = relay_server
        self._explainer = explainer

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request by its path."""
        match request.path:
            case path if path == STATE_PATH:
                return self._shared_state(request)
            case path if path == peer_tables.TABLE_PATH:
                return await self._relay_server.handle(request)
            case path if path == explanation_model.PATH:
                return await self._explainer.handle(request)
            case path if path == METRICS_PATH:
                return self._metrics(request)
            case _:
                return web.Response(status=404)

    def _shared_state(self, request: web.BaseRequest) -> web.Response:
        configuration = self._state.configuration
        if configuration is None:
            return web.Response(status=503)
        is_compressed = compression.PARAMETER in request.query
        shared = SharedState(
            compression.compress(configuration.source)
            if is_compressed
            else configuration.source,
            list(self._state.registry.all()),
            self._state.configuration_eras.first,
            is_compressed,
            self._state.configuration_eras.last,
        )
        return web.Response(body=msgspec.msgpack.encode(shared))

    def _metrics(self, request: web.BaseRequest) -> web.Response:
        context = self._context
        now_s = asyncio.get_running_loop().time()
        context.counters.set_speeds(
            context.endpoint_speeds.relative_speeds(),
            {
                (each.service, each.address): context.paces.pace(
                    each.endpoint_id, now_s
                )
                for each in self._state.registry.all()
                if context.paces.is_stated(each.service)
            },
        )
        content, headers = renderer.render(
            self._context.counters.registry,
            request.headers.getall('Accept', []),
        )
        return web.Response(body=content, headers=headers)
