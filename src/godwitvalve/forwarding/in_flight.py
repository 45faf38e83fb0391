"""Requests in flight, which a planned stop may interrupt."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import enum


class Wait(enum.Enum):
    """What a request waits for."""

    BODY = 'body'
    TURN = 'turn'
    ENDPOINT = 'endpoint'
    ANSWER = 'answer'
    EVENTS = 'events'
    CALLER = 'caller'


class RequestInFlight:
    """A request that waits, and can be made to stop waiting.

    :ivar has_begun: whether the caller got a part of the answer.
    """

    def __init__(self, request_id: str = '') -> None:
        self.request_id = request_id
        self.waits_for = Wait.BODY
        self.has_begun = False
        self.is_interrupted = False
        self._limit: asyncio.Timeout | None = None

    @contextlib.asynccontextmanager
    async def limit(self, deadline_s: float | None) -> abc.AsyncIterator[None]:
        """Limit the time of the block.

        :param deadline_s: seconds of the event loop's clock; None for no
            limit but the interruption.
        :raises TimeoutError: at the deadline, or when interrupted.
        """
        if self.is_interrupted:
            deadline_s = asyncio.get_running_loop().time()
        async with asyncio.timeout_at(deadline_s) as self._limit:
            try:
                yield
            finally:
                self._limit = None

    def begin_answer(self, wait: Wait) -> None:
        """Note that the caller gets its answer from now on.

        An interruption of before that led to this answer, and does not end
        it.
        """
        self.waits_for = wait
        self.has_begun = True
        self.is_interrupted = False

    def interrupt(self) -> None:
        """End the current wait, and those that follow, as at the deadline."""
        self.is_interrupted = True
        if self._limit is not None and not self._limit.expired():
            self._limit.reschedule(asyncio.get_running_loop().time())
