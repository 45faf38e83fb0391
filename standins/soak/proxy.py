"""Loopback proxy that injects faults into its connections."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

_RESET_LINGER = struct.pack('ii', 1, 0)
DELAY_S = 0.15
_CHUNK_BYTES = 65536


class Mode(enum.Enum):
    """Handling of bytes, also of connections that are already open."""

    PASS = 'pass'
    DELAY = 'delay'
    ANSWERS_LOST = 'answers lost'
    SILENT = 'silent'
    RESET = 'reset'


class FaultProxy:
    """Forwards connections to one address in the current ``mode``.

    :param target: ``IP:port`` of the process behind the proxy.
    """

    def __init__(self, target: str) -> None:
        self.mode = Mode.PASS
        self.address = ''
        self._host, _, port = target.rpartition(':')
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> FaultProxy:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    def set_mode(self, mode: Mode) -> None:
        """Change the mode; ``RESET`` also resets the open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for writer in list(self._writers):
                _reset(writer)

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        # Also resets connections that are being accepted.
        self.mode = Mode.RESET
        writers = list(self._writers)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in writers:
            _reset(writer)
        # The transports close in the next round of the event loop.
        await asyncio.sleep(0)

    def _is_resetting(self) -> bool:
        return self.mode is Mode.RESET

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_resetting():
            _reset(writer)
            return
        try:
            upstream = await asyncio.open_connection(self._host, self._port)
        except OSError:
            _reset(writer)
            return
        if self._is_resetting():
            _reset(writer)
            _reset(upstream[1])
            return
        self._writers |= {writer, upstream[1]}
        for source, sink, is_answer in (
            (reader, upstream[1], False),
            (upstream[0], writer, True),
        ):
            task = asyncio.create_task(self._forward(source, sink, is_answer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        try:
            while content := await source.read(_CHUNK_BYTES):
                match self.mode:
                    case Mode.DELAY:
                        await asyncio.sleep(DELAY_S)
                    case Mode.SILENT:
                        continue
                    case Mode.ANSWERS_LOST if is_answer:
                        continue
                sink.write(content)
                await sink.drain()
            sink.close()
        except OSError:
            _reset(sink)
        finally:
            self._writers.discard(sink)


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER
        )
    writer.transport.abort()
