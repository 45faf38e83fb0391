"""HTTP interface of the plain service stand-in."""

from __future__ import annotations

import asyncio
import os
import time

from aiohttp import web

from standins.plain import state as plain_state

MAX_BODY_BYTES = 16 * 1024 * 1024


class PlainServer:
    """Plain service that numbers and records the calls it ran."""

    def __init__(
        self, endpoint_id: str, service: str, version: str, seed: int
    ) -> None:
        self.endpoint_id = endpoint_id
        self.service = service
        self.version = version
        self.state = plain_state.State(seed)

    def application(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get('/log', self._log)
        app.router.add_get('/load', self._load)
        app.router.add_post('/faults', self._faults)
        app.router.add_route('*', '/{path:.*}', self._call)
        return app

    async def _log(self, request: web.Request) -> web.Response:
        return web.json_response(self.state.log)

    async def _load(self, request: web.Request) -> web.Response:
        if self.state.faults.freeze:
            await self.state.wait_unfrozen()
        return web.json_response(
            {
                'queue_length': self.state.waiting,
                'running': self.state.running,
                'state': 'leaving' if self.state.faults.leaving else 'live',
                'version': self.version,
                'measured_wall_s': time.time(),
            }
        )

    async def _faults(self, request: web.Request) -> web.Response:
        changes = await request.json()
        if changes.get('die'):
            os._exit(1)
        try:
            self.state.set_faults(changes)
        except (TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response({})

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.text()
        await self.state.wait_unfrozen()
        self.state.running += 1
        try:
            # Shielded because a service completes a started call even if
            # its caller disconnects.
            return await asyncio.shield(self._run(request, body))
        finally:
            self.state.running -= 1

    async def _run(self, request: web.Request, body: str) -> web.Response:
        faults = self.state.faults
        entry = self.state.record(
            request.method,
            request.path_qs,
            request.headers.get('Idempotency-Key', ''),
            body,
            time.time(),
        )
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)
        if faults.lose_answers and request.transport is not None:
            request.transport.abort()
        answer = {
            'number': entry['number'],
            'endpoint_id': self.endpoint_id,
            'service': self.service,
            'version': self.version,
        }
        return web.json_response(
            answer, status=500 if entry['failed'] else 200
        )


async def serve(server: PlainServer, host: str, port: int) -> None:
    """Serve until cancelled; print ``listening on PORT`` when ready."""
    runner = web.AppRunner(server.application(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound = runner.addresses[0][1]
    print(f'listening on {bound}', flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()
