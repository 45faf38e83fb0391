"""Listening sockets of an entry instance."""

from __future__ import annotations

from collections import abc

from aiohttp import web

# Callers keep connections for four fifths of the limit that operators set, in
# the longest known case 15 s. A longer timeout here lets them close first.
KEEPALIVE_TIMEOUT_S = 75.0
MAX_LINE_BYTES = 64 * 1024
BACKLOG = 1024

# Waits for requests in progress at a stop, twice: for their handlers, which
# are then cancelled, and for what the server does after them.
CALLER_CLOSE_WAIT_S = 0.1
# Answers to others than callers have no need to be complete.
CLOSE_WAIT_S = 0.01

Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]


async def listen(
    address: str, handler: Handler, close_wait_s: float = CALLER_CLOSE_WAIT_S
) -> web.ServerRunner:
    """Start an HTTP server on an address.

    :param address: ``IP:port``.
    :param close_wait_s: wait for requests in progress as the server closes,
        at most twice.
    """
    server = web.Server(
        handler,
        access_log=None,
        handler_cancellation=True,
        keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
    )
    runner = web.ServerRunner(server, shutdown_timeout=close_wait_s)
    await runner.setup()
    host, _, port = address.rpartition(':')
    site = web.TCPSite(runner, host, int(port), backlog=BACKLOG)
    await site.start()
    return runner
