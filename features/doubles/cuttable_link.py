"""Network link of an endpoint that a test can cut."""

from __future__ import annotations

import asyncio
import socket
import threading

# Fills the queue of new connections of a listener without a backlog.
FILLERS = 4
READ_BYTES = 65536


class CuttableLink(threading.Thread):
    """Relays connections from its own address to that of an endpoint.

    While it is cut, sent bytes wait on the way and are delivered once it is
    whole, also if their sender has ended. Packets that open connections are
    dropped.

    :param target: ``IP:port`` of the endpoint; may be changed.
    """

    def __init__(self, target):
        super().__init__(daemon=True)
        self.target = target
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=128)
        self._listener.setblocking(False)
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._loop = asyncio.new_event_loop()
        self._whole = asyncio.Event()
        self._whole.set()
        self._fillers = []
        self._accepting = None
        self._tasks = set()

    def run(self):
        asyncio.set_event_loop(self._loop)
        self._begin_accepting()
        self._loop.run_forever()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        self._loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )

    def stop(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self.join()
        for each in (*self._fillers, self._listener):
            each.close()

    def cut(self):
        self._loop.call_soon_threadsafe(self._cut)

    def heal(self):
        self._loop.call_soon_threadsafe(self._heal)

    def _cut(self):
        self._whole.clear()
        self._accepting.cancel()
        self._listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def _heal(self):
        while self._fillers:
            self._fillers.pop().close()
        self._listener.listen(128)
        self._whole.set()
        self._begin_accepting()

    def _begin_accepting(self):
        self._accepting = self._loop.create_task(self._accept())

    async def _accept(self):
        while True:
            near, _ = await self._loop.sock_accept(self._listener)
            task = self._loop.create_task(self._relay(near))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _relay(self, near):
        near_reader, near_writer = await asyncio.open_connection(sock=near)
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            near_writer.close()
            return
        await asyncio.gather(
            self._forward(near_reader, far_writer),
            self._forward(far_reader, near_writer),
        )

    async def _forward(self, reader, writer):
        try:
            while content := await reader.read(READ_BYTES):
                await self._whole.wait()
                writer.write(content)
                await writer.drain()
            await self._whole.wait()
        except ConnectionError:
            # The other direction ends as its reader does.
            pass
        writer.close()
