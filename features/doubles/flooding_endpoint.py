"""Test endpoint that sends a prefix and then the same bytes without end."""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import pathlib
import socket
import threading
import time

POLL_S = 0.05
# On a busy machine, the process of the endpoint notices a reset later.
NOTICE_LIMIT_S = 5.0
# States ESTABLISHED and CLOSE_WAIT in /proc/net/tcp.
_OPEN_STATES = frozenset({'01', '08'})
# A process of its own keeps the flood from the interpreter lock of the test.
_PROCESSES = multiprocessing.get_context('fork')


class FloodingEndpoint:
    """Serves each connection in a thread of a process of its own.

    The first ``complete_answers`` requests of a connection get a complete
    answer. The next one gets ``prefix`` and then ``piece`` until the caller
    closes, one piece every ``pause_s`` seconds. ``{id}`` in an answer stands
    for the id of the request.
    """

    def __init__(
        self,
        prefix,
        piece,
        pause_s=0.0,
        complete_answers=(),
        request_end=b'body',
    ):
        self._prefix = prefix
        self._piece = piece
        self._pause_s = pause_s
        self._complete_answers = list(complete_answers)
        self._request_end = request_end
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.settimeout(POLL_S)
        self._sent_bytes = _PROCESSES.Value('q', 0)
        self._open_connections = _PROCESSES.Value('q', 0)
        self._process = None
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'

    @property
    def sent_bytes(self):
        return self._sent_bytes.value

    @property
    def open_connections(self):
        return self._open_connections.value

    @property
    def caller_connections(self):
        """Return how many connections to it the kernel has for its callers.

        A caller that resets or closes a connection has none at once, while
        the endpoint may notice it later.
        """
        port = int(self.address.rpartition(':')[2])
        lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
        states = [
            state
            for _, _, remote, state, *_ in map(str.split, lines)
            if int(remote.rpartition(':')[2], 16) == port
        ]
        return len([each for each in states if each in _OPEN_STATES])

    async def connections_left(self):
        """Return the connections that remain after those it notices ended."""
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + NOTICE_LIMIT_S
        while self.open_connections and loop.time() < limit_s:
            await asyncio.sleep(POLL_S)
        return self.open_connections

    async def start(self):
        self._process = _PROCESSES.Process(target=self._accept, daemon=True)
        self._process.start()
        self._listener.close()
        return self

    async def stop(self):
        self._process.kill()
        self._process.join()

    def _accept(self):
        while True:
            with contextlib.suppress(TimeoutError):
                connection, _ = self._listener.accept()
                with self._open_connections.get_lock():
                    self._open_connections.value += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        try:
            with connection:
                connection.settimeout(POLL_S)
                connection.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
                )
                self._answer(connection)
        except OSError:
            pass
        finally:
            with self._open_connections.get_lock():
                self._open_connections.value -= 1

    def _answer(self, connection):
        for answer in self._complete_answers:
            request_id = self._read_request(connection)
            connection.sendall(answer.replace(b'{id}', request_id))
        request_id = self._read_request(connection)
        self._send(connection, self._prefix.replace(b'{id}', request_id))
        while True:
            self._send(connection, self._piece)
            if self._pause_s:
                time.sleep(self._pause_s)

    def _send(self, connection, content):
        unsent = memoryview(content)
        while unsent:
            try:
                count = connection.send(unsent)
            except TimeoutError:
                continue
            with self._sent_bytes.get_lock():
                self._sent_bytes.value += count
            unsent = unsent[count:]

    def _read_request(self, connection):
        received = b''
        while not received.endswith(self._request_end) and True:
            try:
                data = connection.recv(65536)
            except TimeoutError:
                continue
            if not data:
                raise ConnectionResetError
            received += data
        for line in received.lower().split(b'\r\n'):
            if line.startswith(b'request-id:'):
                return line.partition(b':')[2].strip()
        return b''
