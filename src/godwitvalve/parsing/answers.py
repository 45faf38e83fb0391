"""Reads the bodies of answers that aiohttp's client receives."""

from __future__ import annotations

from collections import abc

import aiohttp

from godwitvalve.forwarding import message_memory
from godwitvalve.parsing import overhead as overheads
from godwitvalve.parsing import throttle as throttles

# Processor time that one chunk takes, rounded up, with the event loop's turn
# if it arrives alone.
CHUNK_COST_S = 10e-6
# Chunks after which a throttled body pauses, if so many are there.
STEP_CHUNKS = 64


class AnswerTooLarge(aiohttp.ClientError):
    """The body exceeds the limit."""


class AnswerTooCostly(aiohttp.ClientError):
    """The body costs far more to parse than it brings."""


def _buffered_chunks(content: aiohttp.StreamReader) -> int:
    """Return how many ends of chunks are buffered.

    aiohttp has no public access to them other than one read for each chunk,
    which doubles what a chunk costs.
    """
    return len(content._http_chunk_splits or ())


async def pieces(
    answer: aiohttp.ClientResponse, overhead: overheads.ParsingOverhead
) -> abc.AsyncGenerator[bytes, None]:
    """Yield what arrives of the body; a costly one pauses after a piece.

    :param overhead: counts the chunks, which the reader may pay for.
    :raises AnswerTooCostly: if its chunks are too short for too long.
    """
    unpaused_chunks = 0
    while True:
        piece, is_chunk_end = await answer.content.readchunk()
        if not piece:
            if is_chunk_end:
                continue
            return
        chunks = 1 + _buffered_chunks(answer.content)
        piece += answer.content.read_nowait()
        overhead.add(chunks, len(piece))
        yield piece
        if overhead.is_excessive:
            answer.close()
            raise AnswerTooCostly
        unpaused_chunks += chunks
        if overhead.is_throttled and unpaused_chunks >= STEP_CHUNKS:
            await throttles.PROCESS.pause(unpaused_chunks * CHUNK_COST_S)
            unpaused_chunks = 0


class _Body:
    """Body of an answer that is being read."""

    def __init__(self, answer: aiohttp.ClientResponse) -> None:
        self.content = bytearray()
        self._answer = answer

    def abort_for_memory(self) -> None:
        """Give up the answer and release its bytes."""
        self.content = bytearray()
        self._answer.content.set_exception(AnswerTooLarge())
        self._answer.close()


async def read(
    answer: aiohttp.ClientResponse,
    limit_bytes: int,
    memory: message_memory.MessageMemory | None = None,
) -> bytes:
    """Return the body of an answer.

    :param memory: limit for all bodies that are read at the same time.
    :raises AnswerTooLarge: if it exceeds a limit.
    :raises AnswerTooCostly: if its chunks are too short for too long.
    """
    body = _Body(answer)
    try:
        async for content in pieces(answer, overheads.ParsingOverhead()):
            body.content += content
            if len(body.content) > limit_bytes:
                answer.close()
                raise AnswerTooLarge
            if memory is not None:
                memory.hold(body, len(body.content))
        return bytes(body.content)
    finally:
        if memory is not None:
            memory.release(body)
