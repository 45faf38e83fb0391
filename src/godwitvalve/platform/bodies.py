"""Reads the bodies of answers from the store and from other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitvalve.forwarding import message_memory
from godwitvalve.parsing import answers

if TYPE_CHECKING:
    import aiohttp

# The store sends at most 1 MB of rows; a table of 7,100 endpoints that
# another entry relays takes about 2 MB.
MAX_BODY_BYTES = 8 * 1024 * 1024

# One limit for all bodies: a source in trouble answers each read with a long
# one, and several of them do not fit into an entry of 128 MB.
_MEMORY = message_memory.MessageMemory(MAX_BODY_BYTES)


async def read(answer: aiohttp.ClientResponse) -> bytes:
    """Return the body of an answer.

    :raises AnswerTooLarge: if it, or all bodies that are read together,
        exceed ``MAX_BODY_BYTES``; a long one is given up then.
    :raises AnswerTooCostly: if its chunks are too short for too long.
    """
    return await answers.read(answer, MAX_BODY_BYTES, _MEMORY)
