"""Test endpoint with a number of slots that declines further calls."""

from __future__ import annotations

import asyncio

from aiohttp import web


class SlotEndpoint:
    """Answers each call after ``work_s``, at most ``slots`` at once."""

    def __init__(self, slots, work_s):
        self._slots = slots
        self._work_s = work_s
        self._running = 0
        self.ran = 0
        self.declined = 0
        self.address = ''
        self._runner = None

    async def start(self):
        app = web.Application()
        app.add_routes([web.route('*', '/{path:.*}', self._serve)])
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        host, port = self._runner.addresses[0]
        self.address = f'{host}:{port}'
        return self

    async def stop(self):
        await self._runner.cleanup()

    async def _serve(self, request):
        headers = {'Request-Id': request.headers['Request-Id']}
        if self._running >= self._slots:
            self.declined += 1
            return web.Response(
                status=503, headers={**headers, 'Not-Executed': '1'}
            )
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        self.ran += 1
        return web.Response(body=b'done', headers=headers)
