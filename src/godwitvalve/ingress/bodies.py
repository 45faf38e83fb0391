"""Reads the bodies of requests."""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp import web

from godwitvalve.forwarding import message_buffer
from godwitvalve.ingress import body_room


async def read(
    request: web.BaseRequest, limit_bytes: int, room: body_room.BodyRoom
) -> message_buffer.Content | None:
    """Return the body, or None if it is larger than the limit.

    :raises NoRoom: if there is no memory for it.
    """
    if not request.body_exists:
        return b''
    length_bytes = request.content_length
    if length_bytes is None or length_bytes > limit_bytes:
        length_bytes = 0
    await room.reserve(length_bytes)
    room.watch(length_bytes)
    body = message_buffer.MessageBuffer(length_bytes)
    async for chunk in request.content.iter_any():
        size_bytes = len(body) + len(chunk)
        if size_bytes > limit_bytes:
            return None
        await room.grow(size_bytes, length_bytes or limit_bytes)
        body.append(chunk)
        room.record(size_bytes)
    room.shrink(len(body))
    return body.content()


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
