"""TCP proxy between two peers that can hold what it carries."""

from __future__ import annotations

import asyncio


class HoldingProxy:
    """Carries connections to one port; new ones after ``hold`` are free."""

    def __init__(self, target_port):
        self.opened = 0
        self._target_port = target_port
        self._free = asyncio.Event()
        self._free.set()
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self._server.sockets[0].getsockname()[1]

    def hold(self):
        """Hold the bytes of the connections that are open now."""
        self._free.clear()

    def forget_held(self):
        """Let new connections pass; held ones stay silent for good."""
        self._free = asyncio.Event()
        self._free.set()

    def release(self):
        """Carry on with what was held."""
        self._free.set()

    async def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.opened += 1
        far_reader, far_writer = await asyncio.open_connection(
            '127.0.0.1', self._target_port
        )
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            carrying = asyncio.create_task(self._carry(source, sink))
            self._tasks.add(carrying)

    async def _carry(self, source, sink):
        # A held connection stays with the event it was held by.
        free = self._free
        try:
            while data := await source.read(65536):
                await free.wait()
                sink.write(data)
        finally:
            sink.transport.abort()
