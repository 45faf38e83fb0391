"""Callers in a process of their own that send requests for some seconds."""

from __future__ import annotations

import http.client
import multiprocessing
import socket
import threading
import time
from typing import NamedTuple

from standins.fleet import site as fleet_site

ANSWER_LIMIT_S = 10.0
# The interpreter lock of a test would delay callers in its process.
_PROCESSES = multiprocessing.get_context('fork')


class CallResult(NamedTuple):
    """End of one call; ``status`` is 0 if it got no answer."""

    status: int
    taken_s: float
    error: str


class CallLoad:
    """Sends one request after the other in each of some threads.

    :param send: sends one request; takes an id and returns a status.
    :param until_s: monotonic seconds after which no request is begun.
    """

    def __init__(self, count, send, until_s):
        self._send = send
        self._until_s = until_s
        self._results, results = _PROCESSES.Pipe(duplex=False)
        self._process = _PROCESSES.Process(
            target=self._run, args=(count, results), daemon=True
        )
        self._process.start()
        results.close()

    def results(self):
        """Wait for the end and return the results of all requests."""
        found = self._results.recv()
        self._process.join()
        return found

    def stop(self):
        self._process.kill()
        self._process.join()

    def _run(self, count, results):
        found = []
        threads = [
            threading.Thread(target=self._call, args=(number, found))
            for number in range(count)
        ]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
        results.send(found)

    def _call(self, caller, found):
        number = 0
        while time.monotonic() < self._until_s:
            number += 1
            began_s = time.monotonic()
            status, error = 0, ''
            try:
                status = self._send(f'call-{caller}-{number}')
            except (OSError, http.client.HTTPException) as failure:
                error = repr(failure)
            taken_s = time.monotonic() - began_s
            found.append(CallResult(status, taken_s, error))


def call(address, path, request_id, body=b'body'):
    """Send a whole request on a connection of its own; return its status."""
    connection = http.client.HTTPConnection(address, timeout=ANSWER_LIMIT_S)
    try:
        connection.request('POST', path, body, headers(request_id))
        answer = connection.getresponse()
        answer.read()
        return answer.status
    finally:
        connection.close()


def headers(request_id):
    """Return the headers of a request with a key."""
    return {
        'Host': fleet_site.HOST,
        'Request-Id': request_id,
        'Api-Key': fleet_site.KEY,
        'Deadline-Ms': '9000',
    }


def send_endless(address, path, piece, request_id):
    """Send a body without end until it is answered; return the status."""
    host, _, port = address.rpartition(':')
    lines = [f'{name}: {text}' for name, text in headers(request_id).items()]
    head = '\r\n'.join(
        [f'POST {path} HTTP/1.1', *lines, 'Transfer-Encoding: chunked']
    )
    with socket.create_connection((host, int(port)), ANSWER_LIMIT_S) as sock:
        sock.sendall(f'{head}\r\n\r\n'.encode())
        sender = threading.Thread(
            target=_send_pieces, args=(sock, piece), daemon=True
        )
        sender.start()
        try:
            return _read_status(sock)
        finally:
            sock.shutdown(socket.SHUT_RDWR)
            sender.join()


def _read_status(sock):
    received = b''
    while b'\r\n' not in received:
        data = sock.recv(4096)
        if not data:
            raise ConnectionResetError('closed without an answer')
        received += data
    return int(received.split()[1])


def _send_pieces(sock, piece):
    try:
        while True:
            sock.sendall(piece)
    except OSError:
        # The reading side reports how the connection ended.
        return
