"""HTTP interface of the engine stand-in."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Any, NamedTuple

from aiohttp import web
import orjson

from standins.engine import cache
from standins.engine import faults as engine_faults
from standins.engine import output
from standins.engine import streams

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_LOGGED_ORDERS = 10_000


class Identity(NamedTuple):
    """Identity that the stand-in reports."""

    endpoint_id: str
    service: str
    version: str
    checks_fencing: bool


def _json(body: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=orjson.dumps(body),
        status=status,
        content_type='application/json',
    )


class EngineServer:
    """Handlers and state of one engine stand-in."""

    def __init__(
        self, identity: Identity, speed: streams.Speed, cache_entries: int
    ) -> None:
        self._identity = identity
        self._version = identity.version
        self._faults = engine_faults.Faults()
        prefixes = cache.PrefixCache(cache_entries)
        self._table = streams.StreamTable(speed, prefixes, self._faults)
        self._orders: list[dict[str, Any]] = []
        self._newest_fencing_number = 0
        self._load: dict[str, Any] = {}

    def application(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._apply_faults]
        )
        app.add_routes(
            [
                web.post('/generate', self._post_generate),
                web.post('/streams/{stream_id}/resume', self._post_resume),
                web.delete('/streams/{stream_id}', self._delete_stream),
                web.get('/load', self._get_load),
                web.post('/orders', self._post_order),
                web.get('/log', self._get_log),
                web.post('/faults', self._post_faults),
            ]
        )
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        self._faults.add_connection(request.transport)
        if request.path not in ('/faults', '/log'):
            await self._faults.wait_output_allowed(request.transport)
        response: web.StreamResponse = await handler(request)
        return response

    async def _post_generate(self, request: web.Request) -> web.StreamResponse:
        order = orjson.loads(await request.read())
        if self._faults.fail_requests:
            return _json({'error': 'failed'}, 500)
        if self._faults.leaving:
            return _json({'error': 'leaving'}, 503)
        if order['version'] != self._version:
            return _json({'error': 'version_mismatch'}, 409)
        try:
            stream = self._table.start(order)
        except streams.Superseded:
            return _json({'error': 'superseded'}, 409)
        return await output.send(
            self._faults, request, stream, stream.prefix_length
        )

    async def _post_resume(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        stream = self._table.streams.get(request.match_info['stream_id'])
        first_index = int(body['first_index'])
        if stream is not None and stream.end_reason == 'superseded':
            return _json({'error': 'superseded'}, 409)
        if (
            stream is None
            or stream.request_id != body['request_id']
            or stream.end_reason not in ('', 'length')
            or not stream.prefix_length <= first_index
            or first_index > len(stream.token_ids)
        ):
            return _json({'error': 'stream_gone'}, 404)
        try:
            self._table.resume(stream, int(body['attempt']))
        except streams.Superseded:
            return _json({'error': 'superseded'}, 409)
        return await output.send(self._faults, request, stream, first_index)

    async def _delete_stream(self, request: web.Request) -> web.Response:
        stream = self._table.streams.get(request.match_info['stream_id'])
        if stream is not None:
            stream.end('cancelled')
        return _json({}, 200 if stream else 404)

    async def _get_load(self, request: web.Request) -> web.Response:
        now_wall_s = time.time()
        measured_wall_s = self._load.get('measured_wall_s', 0.0)
        if now_wall_s - measured_wall_s >= self._faults.load_lag_s:
            self._load = {
                'queue_length': 0,
                'running': self._table.running(),
                'state': 'leaving' if self._faults.leaving else 'live',
                'version': self._version,
                'measured_wall_s': now_wall_s,
            }
        return _json(self._load)

    async def _post_order(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        number = int(order['fencing_number'])
        newest = self._newest_fencing_number
        refused = self._identity.checks_fencing and number < newest
        self._orders.append({**order, 'refused': refused})
        del self._orders[:-MAX_LOGGED_ORDERS]
        if refused:
            return _json({'newest_fencing_number': newest}, 409)
        self._newest_fencing_number = max(number, newest)
        self._version = str(order['version'])
        return _json({})

    async def _get_log(self, request: web.Request) -> web.Response:
        return _json(
            {
                'endpoint_id': self._identity.endpoint_id,
                'service': self._identity.service,
                'version': self._version,
                'orders': self._orders,
                'streams': [
                    {
                        'stream_id': stream.stream_id,
                        'request_id': stream.request_id,
                        'attempts': stream.attempts,
                        'prefix_tokens': stream.prefix_length,
                        'prefill_tokens': stream.prefill_tokens,
                        'generated_tokens': stream.generated_tokens,
                        'end_reason': stream.end_reason,
                    }
                    for stream in self._table.streams.values()
                ],
            }
        )

    async def _post_faults(self, request: web.Request) -> web.Response:
        switches = orjson.loads(await request.read())
        if switches.get('die'):
            os._exit(1)
        self._faults.apply(switches, request.transport)
        if switches.get('forget_streams'):
            for stream in self._table.streams.values():
                stream.end('forgotten')
        for stream in self._table.streams.values():
            stream.notify()
        return _json({})


async def serve(server: EngineServer, host: str, port: int) -> None:
    """Serve until cancelled; print ``listening on PORT`` when ready."""
    runner = web.AppRunner(server.application(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    print(f'listening on {runner.addresses[0][1]}', flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()
