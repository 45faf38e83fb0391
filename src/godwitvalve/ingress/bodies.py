"""Reads the bodies of requests."""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp import web


async def read(request: web.BaseRequest, limit_bytes: int) -> bytes | None:
    """Return the body, or None if it is larger than the limit."""
    if not request.body_exists:
        return b''
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit_bytes:
            return None
    return bytes(body)


async def discard(request: web.BaseRequest, until_s: float) -> None:
    """Read the rest of a body that is not needed.

    Closing a connection with unread bytes resets it, and its caller may
    lose the answer.

    :param until_s: seconds of the event loop's clock.
    """
    if request.content.at_eof():
        return
    with contextlib.suppress(
        asyncio.TimeoutError, ConnectionError, web.RequestPayloadError
    ):
        async with asyncio.timeout_at(until_s):
            while not request.content.at_eof():
                await request.content.readany()
