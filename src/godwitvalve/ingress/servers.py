"""Listening sockets of an entry instance."""

from __future__ import annotations

from collections import abc

from aiohttp import web

# Callers keep connections for four fifths of the limit that operators set, in
# the longest known case 15 s. A longer timeout here lets them close first.
KEEPALIVE_TIMEOUT_S = 75.0
MAX_LINE_BYTES = 64 * 1024
BACKLOG = 1024

Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]


async def listen(address: str, handler: Handler) -> web.ServerRunner:
    """Start an HTTP server on an address.

    :param address: ``IP:port``.
    """
    server = web.Server(
        handler,
        access_log=None,
        # Bodies are forwarded as they were sent, with their encoding.
        auto_decompress=False,
        handler_cancellation=True,
        keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = address.rpartition(':')
    site = web.TCPSite(runner, host, int(port), backlog=BACKLOG)
    await site.start()
    return runner
