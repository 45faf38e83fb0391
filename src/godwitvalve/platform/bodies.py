"""Reads the bodies of answers from the store and from other entries."""

from __future__ import annotations

import aiohttp

# The store sends at most 1 MB of rows; a table of 7,100 endpoints that
# another entry relays takes about 2 MB.
MAX_BODY_BYTES = 8 * 1024 * 1024


class BodyTooLarge(aiohttp.ClientError):
    """The body exceeds the limit."""


async def read(answer: aiohttp.ClientResponse) -> bytes:
    """Return the body of an answer.

    :raises BodyTooLarge: if it exceeds ``MAX_BODY_BYTES``.
    """
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            answer.close()
            raise BodyTooLarge
    return bytes(body)
