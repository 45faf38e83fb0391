"""Listening sockets of an entry instance."""

from __future__ import annotations

import asyncio
from collections import abc
import socket
from typing import Any

from aiohttp import web

from godwitvalve.ingress import connections
from godwitvalve.parsing import throttle as throttles

# Callers keep connections for four fifths of the limit that operators set, in
# the longest known case 15 s. A longer timeout here lets them close first; it
# applies where the limit is shorter, or not known yet.
KEEPALIVE_TIMEOUT_S = 75.0
MAX_LINE_BYTES = 64 * 1024
# Bounds the bytes of a request that wait for the memory of its body, with
# what the kernel holds. Both read up to twice as much.
READ_AHEAD_BYTES = 32 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024
BACKLOG = 1024

# Waits for requests in progress at a stop, twice: for their handlers, which
# are then cancelled, and for what the server does after them.
CALLER_CLOSE_WAIT_S = 0.1
# Answers to others than callers have no need to be complete.
CLOSE_WAIT_S = 0.01

_OPTIONS: dict[str, Any] = {
    'access_log': None,
    # Bodies are forwarded as they were sent, with their encoding.
    'auto_decompress': False,
    'read_bufsize': READ_AHEAD_BYTES,
    'max_line_size': MAX_LINE_BYTES,
    'max_field_size': MAX_LINE_BYTES,
}


class _Connection(connections.CallerConnection):
    """Connection that stays open for the idle limit in force.

    :param idle_limit_s: returns the limit that operators set, in seconds.
    """

    def __init__(
        self, manager: web.Server, idle_limit_s: abc.Callable[[], float]
    ) -> None:
        super().__init__(
            manager,
            throttles.PROCESS,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            **_OPTIONS,
        )
        self._idle_limit_s = idle_limit_s
        self._idle_since_s = 0.0
        self._postponed_to_s = 0.0

    def _process_keepalive(self) -> None:
        """Close the connection unless operators allow it to stay idle.

        The base class sets the time of the close when the last answer ends,
        and operators may raise the limit later.
        """
        if self._next_keepalive_close_time != self._postponed_to_s:
            self._idle_since_s = (
                self._next_keepalive_close_time - KEEPALIVE_TIMEOUT_S
            )
        self._postponed_to_s = self._idle_since_s + max(
            KEEPALIVE_TIMEOUT_S, self._idle_limit_s()
        )
        self._next_keepalive_close_time = self._postponed_to_s
        super()._process_keepalive()


class _Server(web.Server):
    """Server whose connections stay open for the idle limit of operators.

    :param idle_limit_s: returns the limit that operators set, in seconds.
    """

    def __init__(
        self,
        handler: connections.Handler,
        idle_limit_s: abc.Callable[[], float],
    ) -> None:
        super().__init__(
            connections.serving(handler), handler_cancellation=True
        )
        self._idle_limit_s = idle_limit_s

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return _Connection(self, self._idle_limit_s)


async def listen(
    address: str,
    handler: connections.Handler,
    close_wait_s: float = CALLER_CLOSE_WAIT_S,
    idle_limit_s: abc.Callable[[], float] = lambda: 0.0,
) -> web.ServerRunner:
    """Start an HTTP server on an address.

    :param address: ``IP:port``.
    :param close_wait_s: wait for requests in progress as the server closes,
        at most twice.
    :param idle_limit_s: returns how long callers may stay idle, in seconds.
    """
    runner = web.ServerRunner(
        _Server(handler, idle_limit_s), shutdown_timeout=close_wait_s
    )
    await runner.setup()
    site = web.SockSite(runner, _create_socket(address), backlog=BACKLOG)
    await site.start()
    return runner


def _create_socket(address: str) -> socket.socket:
    """Return a bound socket; accepted ones inherit its receive buffer."""
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.bind((host.strip('[]'), int(port)))
    except BaseException:
        sock.close()
        raise
    return sock
