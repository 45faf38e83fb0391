"""Caller that sends raw bytes to a server which runs for one request."""

from __future__ import annotations

import asyncio

from aiohttp import web


async def ask(runner, content, limit_s):
    """Start a server, send it one request and return all that it answers.

    :param runner: server that is not set up yet; it is closed at the end.
    :param limit_s: seconds until the connection must have ended.
    """
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    try:
        ((host, port),) = runner.addresses
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(content)
        answer = await asyncio.wait_for(reader.read(), limit_s)
        writer.close()
        return answer
    finally:
        await runner.cleanup()
