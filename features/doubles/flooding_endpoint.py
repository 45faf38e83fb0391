"""Test endpoint that sends a prefix and then the same bytes without end."""

from __future__ import annotations

import socket
import threading
import time

POLL_S = 0.05


class FloodingEndpoint:
    """Serves each connection in a thread of its own.

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
        self._is_stopping = False
        self._threads = []
        self.sent_bytes = 0
        self.requests = 0
        self.open_connections = 0
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'

    async def start(self):
        self._run(self._accept)
        return self

    async def stop(self):
        self._is_stopping = True
        for thread in self._threads:
            thread.join(2)
        self._listener.close()

    def _run(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self):
        while not self._is_stopping:
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            self.open_connections += 1
            self._run(self._serve, connection)

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
            self.open_connections -= 1

    def _answer(self, connection):
        for answer in self._complete_answers:
            request_id = self._read_request(connection)
            connection.sendall(answer.replace(b'{id}', request_id))
        request_id = self._read_request(connection)
        self._send(connection, self._prefix.replace(b'{id}', request_id))
        while not self._is_stopping:
            self._send(connection, self._piece)
            if self._pause_s:
                time.sleep(self._pause_s)

    def _send(self, connection, content):
        unsent = memoryview(content)
        while unsent and not self._is_stopping:
            try:
                count = connection.send(unsent)
            except TimeoutError:
                continue
            self.sent_bytes += count
            unsent = unsent[count:]

    def _read_request(self, connection):
        received = b''
        while (
            not received.endswith(self._request_end) and not self._is_stopping
        ):
            try:
                data = connection.recv(65536)
            except TimeoutError:
                continue
            if not data:
                raise ConnectionResetError
            received += data
        self.requests += 1
        for line in received.lower().split(b'\r\n'):
            if line.startswith(b'request-id:'):
                return line.partition(b':')[2].strip()
        return b''
