"""Endpoint stand-in: ``python -m standins.fleet.replica``."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import json
import os
import pathlib
import signal
import sys
import time
from typing import Annotated, Any, NamedTuple

import aiohttp
from aiohttp import web
import typer

from standins.fleet import serving

# A row that the store has lost is written again within two seconds.
HEARTBEAT_S = 1.2
STORE_LIMIT_S = 1.0
LEAVING = {'Server-Leaving': '1'}


class CrashPlan(NamedTuple):
    """How a part of a prompt ends the process.

    :param part: id of the part; empty if none does.
    :param stage: when it does: before the head of the answer, after it,
        inside an event or, by an exit of the process, between two events.
    """

    part: str = ''
    stage: str = 'before the head'


class Replica:
    """Serves plain calls and streams of numbered events.

    :param events: number of events in each stream.
    :param gap_s: seconds between events.
    :param work_s: seconds that a plain call takes.
    :param slots: number of calls that run at once; more are declined.
    :param padding_bytes: bytes at the end of each answer to a call.
    :param prompt_s: seconds from a stream's arrival to its head.
    :param crash: which streams end the process.
    :param run_log: file to which each stream adds a line as it arrives.
    """

    def __init__(
        self,
        endpoint_id: str,
        events: int,
        gap_s: float,
        work_s: float,
        slots: int,
        padding_bytes: int,
        prompt_s: float = 0.0,
        crash: CrashPlan = CrashPlan(),
        run_log: pathlib.Path | None = None,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.events = events
        self.gap_s = gap_s
        self.work_s = work_s
        self.slots = slots
        self.running = 0
        self.padding = bytes(padding_bytes)
        self.prompt_s = prompt_s
        self.crash = crash
        self.run_log = run_log
        self.runs: list[list[str]] = []
        self.mode = 'sound'
        self.arrivals_s: list[float] = []
        # Stated in each answer if it is not empty.
        self.limit = ''
        # Whether each answer states that it leaves.
        self.is_leaving = False
        # Row in the table of servers and the store that keeps it.
        self._row: dict[str, str] | None = None
        self._store_url = ''
        self._writing = asyncio.Lock()

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application()
        app.cleanup_ctx.append(self._write_heartbeats)
        app.add_routes(
            [
                web.get('/healthz', self._health),
                web.get('/standin/runs', self._get_runs),
                web.get('/standin/arrivals', self._get_arrivals),
                web.post('/standin/faults', self._set_mode),
                web.post('/standin/limit', self._set_limit),
                web.post('/standin/leaving', self._set_leaving),
                web.post('/standin/row', self._set_row),
                web.route('*', '/{path:.*}', self._serve),
            ]
        )
        return app

    async def _health(self, request: web.Request) -> web.Response:
        headers = {'Instance-Id': self.endpoint_id}
        if self.is_leaving:
            return web.Response(status=503, headers={**headers, **LEAVING})
        return web.Response(headers=headers)

    async def _get_runs(self, request: web.Request) -> web.Response:
        return web.json_response(self.runs)

    async def _get_arrivals(self, request: web.Request) -> web.Response:
        return web.json_response(self.arrivals_s)

    async def _set_limit(self, request: web.Request) -> web.Response:
        self.limit = (await request.json())['limit']
        return web.json_response({})

    async def _set_leaving(self, request: web.Request) -> web.Response:
        self.is_leaving = True
        return web.json_response({})

    async def _set_row(self, request: web.Request) -> web.Response:
        """Set the row to write; without one, no write follows the answer."""
        body = await request.json()
        async with self._writing:
            self._row, self._store_url = body['row'], body['store_url']
        return web.json_response({})

    async def _write_heartbeats(
        self, app: web.Application
    ) -> abc.AsyncIterator[None]:
        task = asyncio.create_task(self._write_rows())
        yield
        task.cancel()

    async def _write_rows(self) -> None:
        limit = aiohttp.ClientTimeout(total=STORE_LIMIT_S)
        async with aiohttp.ClientSession(timeout=limit) as session:
            while True:
                await asyncio.sleep(HEARTBEAT_S)
                async with self._writing:
                    await self._write_row(session)

    async def _write_row(self, session: aiohttp.ClientSession) -> None:
        if self._row is None:
            return
        try:
            async with session.post(self._store_url, json=self._row) as answer:
                answer.raise_for_status()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            # The next heartbeat writes the row again.
            print(f'row not written: {error}', file=sys.stderr)

    async def _set_mode(self, request: web.Request) -> web.Response:
        self.mode = (await request.json())['mode']
        return web.json_response({})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        headers = request.headers
        response_headers = {
            'Request-Id': headers.get('Request-Id', ''),
            'Response-Signature': f'signed-{self.endpoint_id}',
        }
        self.arrivals_s.append(time.monotonic())
        if self.limit:
            response_headers['Server-Limit'] = self.limit
        if self.is_leaving:
            response_headers |= LEAVING
        if headers.get('Expected-Instance') != self.endpoint_id:
            return web.Response(
                status=421,
                headers={**response_headers, 'Instance-Id': self.endpoint_id},
            )
        if self.mode == 'full' or self.running >= self.slots:
            return web.Response(
                status=503, headers={**response_headers, 'Not-Executed': '1'}
            )
        body = await request.read()
        self.runs.append(
            [
                response_headers['Request-Id'],
                headers.get('Tenant', ''),
                headers.get('Last-Event-Id', ''),
                body.decode(),
            ]
        )
        if 'Token-Usage' in headers:
            return await self._stream(request, response_headers)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if self.mode == 'error':
            return web.Response(status=500, headers=response_headers)
        if self.mode == 'lost':
            assert request.transport is not None
            request.transport.abort()
        return web.Response(
            body=b'done ' + body + self.padding, headers=response_headers
        )

    async def _stream(
        self, request: web.Request, response_headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=response_headers)
        response.content_type = 'text/event-stream'
        last = int(request.headers.get('Last-Event-Id', '0'))
        self._log_run(request)
        await asyncio.sleep(self.prompt_s)
        # The stream ends when the caller disconnects.
        with contextlib.suppress(ConnectionResetError):
            if self._is_deadly(request):
                await self._crash(request, response, last + 1)
            await response.prepare(request)
            for number in range(last + 1, self.events + 1):
                await asyncio.sleep(self.gap_s)
                await response.write(b'id: %d\ndata: token\n\n' % number)
        return response

    def _log_run(self, request: web.Request) -> None:
        if self.run_log is None:
            return
        line = {
            'at_s': time.monotonic(),
            'endpoint_id': self.endpoint_id,
            'request_id': request.headers.get('Request-Id', ''),
            'is_deadly': self._is_deadly(request),
        }
        with self.run_log.open('a') as log:
            log.write(json.dumps(line) + '\n')

    def _is_deadly(self, request: web.Request) -> bool:
        parts = request.headers.get('Prompt-Prefix', '').split(',')
        ids = {each.partition(':')[0] for each in parts}
        return bool(self.crash.part) and self.crash.part in ids

    async def _crash(
        self, request: web.Request, response: web.StreamResponse, first: int
    ) -> None:
        """End the process as it begins to answer a stream."""
        if self.crash.stage != 'before the head':
            await response.prepare(request)
        if self.crash.stage == 'inside an event':
            await response.write(b'id: %d\ndata: to' % first)
        if self.crash.stage == 'by an exit':
            await response.write(b'id: %d\ndata: token\n\n' % first)
            os._exit(1)
        os.kill(os.getpid(), signal.SIGKILL)


def main(
    endpoint_id: Annotated[str, typer.Option()],
    port: Annotated[int, typer.Option(min=0, max=65535)] = 0,
    events: int = 50,
    gap_ms: float = 20.0,
    work_ms: float = 20.0,
    slots: int = 1000,
    padding_bytes: int = 0,
    prompt_ms: float = 0.0,
    deadly_part: str = '',
    crash_stage: str = 'before the head',
    run_log: pathlib.Path | None = None,
) -> None:
    """Serve an endpoint on a loopback port.

    :param port: TCP port; 0 picks a free one.
    :param events: number of events in each stream.
    :param gap_ms: milliseconds between events.
    :param work_ms: milliseconds that a plain call takes.
    :param slots: number of calls that run at once.
    :param padding_bytes: bytes at the end of each answer to a call.
    :param prompt_ms: milliseconds from a stream's arrival to its head.
    :param deadly_part: part of a prompt that ends the process.
    :param crash_stage: when it does.
    :param run_log: file to which each stream adds a line as it arrives.
    """

    def build() -> Any:
        return Replica(
            endpoint_id,
            events,
            gap_ms / 1000,
            work_ms / 1000,
            slots,
            padding_bytes,
            prompt_ms / 1000,
            CrashPlan(deadly_part, crash_stage),
            run_log,
        ).app()

    asyncio.run(serving.serve(build, port))


if __name__ == '__main__':
    typer.run(main)
