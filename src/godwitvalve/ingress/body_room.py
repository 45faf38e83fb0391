"""Waits for the memory of request bodies."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib

from godwitvalve.forwarding import body_memory
from godwitvalve.forwarding import uploads

# Callers give up a request that is not read within a second, or a third of
# its time. A body of 4 MB is sent on within some 30 ms.
WAIT_LIMIT_S = 0.25
WAIT_SHARE = 0.25
# Room that a body of unknown length asks for at a time.
MIN_GROWTH_BYTES = 64 * 1024


class NoRoom(Exception):
    """The memory for bodies is in use, or too small for this one."""


class BodyRoom:
    """The room of one request's body.

    :param holder: the request, which holds the room until it ends.
    :param limit_s: time of the request, in seconds.
    """

    def __init__(
        self,
        memory: body_memory.BodyMemory,
        holder: abc.Hashable,
        limit_s: float,
    ) -> None:
        self._memory = memory
        self._holder = holder
        self._limit_s = limit_s
        self._wait_s = min(WAIT_LIMIT_S, limit_s * WAIT_SHARE)
        self._size_bytes = 0
        self._upload: uploads.Upload | None = None

    async def reserve(self, size_bytes: int) -> None:
        """Wait until there is room for a body of this length.

        :raises NoRoom: if there is none within the limit.
        """
        if size_bytes <= self._room_bytes():
            return
        loop = asyncio.get_running_loop()
        decision: asyncio.Future[bool] = loop.create_future()
        match self._memory.ask(self._holder, size_bytes, decision.set_result):
            case body_memory.Answer.REFUSED:
                raise NoRoom
            case body_memory.Answer.WAIT:
                await self._wait(decision)
            case body_memory.Answer.GRANTED:
                pass
        self._size_bytes = size_bytes
        if self._upload is not None:
            self._upload.room_bytes = size_bytes

    def _room_bytes(self) -> int:
        if self._upload is None:
            return self._size_bytes
        return self._upload.room_bytes

    def watch(self, size_bytes: int) -> None:
        """Watch the arrival of a body that has room for its stated length."""
        if size_bytes > body_memory.SMALL_BODY_BYTES:
            now_s = asyncio.get_running_loop().time()
            self._upload = uploads.Upload(size_bytes, self._limit_s, now_s)
            self._memory.add_upload(self._holder, self._upload)

    def record(self, arrived_bytes: int) -> None:
        """Record how much of the body has arrived."""
        if self._upload is not None:
            now_s = asyncio.get_running_loop().time()
            self._upload.record(arrived_bytes, now_s)

    async def _wait(self, decision: asyncio.Future[bool]) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        until_s = began_s + self._wait_s
        while not decision.done() and loop.time() < until_s:
            self._memory.reclaim(loop.time())
            await asyncio.wait(
                [decision],
                timeout=min(
                    body_memory.RECLAIM_PERIOD_S, until_s - loop.time()
                ),
            )
        if not decision.done() or not decision.result():
            self._memory.release(self._holder)
            raise NoRoom
        self._wait_s -= loop.time() - began_s

    async def grow(self, size_bytes: int, limit_bytes: int) -> None:
        """Wait until there is room for a body that may grow further.

        Asks for twice the length if so much may fit, as each question may
        wait.

        :param limit_bytes: greatest length of the body.
        :raises NoRoom: if there is none within the limit.
        """
        if size_bytes <= self._room_bytes():
            return
        if size_bytes > body_memory.SMALL_BODY_BYTES:
            ahead_bytes = max(size_bytes * 2, MIN_GROWTH_BYTES)
            longest_bytes = min(limit_bytes, self._memory.longest_bytes)
            size_bytes = max(size_bytes, min(ahead_bytes, longest_bytes))
        await self.reserve(size_bytes)

    def shrink(self, size_bytes: int) -> None:
        """Return the room that a complete body does not need."""
        self._size_bytes = size_bytes
        self._memory.shrink(self._holder, size_bytes)


@contextlib.contextmanager
def held(
    memory: body_memory.BodyMemory, holder: abc.Hashable
) -> abc.Iterator[None]:
    """Release the room of a request as it ends."""
    try:
        yield
    finally:
        memory.release(holder)
