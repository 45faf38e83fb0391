"""TCP proxy between two peers that can pause its connections."""

from __future__ import annotations

import asyncio


class PausableProxy:
    """Relays TCP connections to one port of the loopback address.

    ``opened`` counts the connections that were accepted.
    """

    def __init__(self, target_port):
        self.opened = 0
        self._target_port = target_port
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self._server.sockets[0].getsockname()[1]

    def pause(self):
        """Stop relaying; the bytes of open connections are held back."""
        self._flowing.clear()

    def admit_new_connections(self):
        """Relay new connections; paused ones stay paused for good."""
        self._flowing = asyncio.Event()
        self._flowing.set()

    def resume(self):
        """Relay the bytes that were held back, and all later ones."""
        self._flowing.set()

    async def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.opened += 1
        target_reader, target_writer = await asyncio.open_connection(
            '127.0.0.1', self._target_port
        )
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            relaying = asyncio.create_task(self._relay(source, sink))
            self._tasks.add(relaying)

    async def _relay(self, source, sink):
        # A paused connection keeps waiting for the event that paused it.
        flowing = self._flowing
        try:
            while data := await source.read(65536):
                await flowing.wait()
                sink.write(data)
        finally:
            sink.transport.abort()
