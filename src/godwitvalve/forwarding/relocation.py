"""Moves a stream that waits at a silent endpoint to another one."""

from __future__ import annotations

import asyncio
from collections import abc
from typing import Any

from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import handover
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import replies
from godwitvalve.logs import setup as logs
from godwitvalve.routing import retry_budget

_LOG = logs.get('forwarding')


class Relocation:
    """Search for the next attempt of a stream, beside the current one.

    A found attempt has its retry and, if needed, its permit, and is sent at
    once. The search goes on if its endpoint does not accept it.

    :param obstacle: returns why the stream may not be sent again now.
    :param choose: returns an attempt that may be sent at once, or None.
    :param send: begins to send an attempt.
    :param end_unused: ends an attempt that the stream does not go on with.
    """

    def __init__(
        self,
        budget: retry_budget.RetryBudget,
        service: str,
        obstacle: abc.Callable[[], replies.IncompleteReason | None],
        choose: abc.Callable[[], abc.Awaitable[attempts.StreamAttempt | None]],
        send: abc.Callable[[attempts.StreamAttempt], attempts.Opening],
        end_unused: abc.Callable[
            [attempts.StreamAttempt, attempts.AttemptEnd], None
        ],
    ) -> None:
        self._budget = budget
        self._service = service
        self._obstacle = obstacle
        self._choose = choose
        self._send = send
        self._end_unused = end_unused
        self._task: asyncio.Task[attempts.StreamAttempt] | None = None
        self._found: attempts.StreamAttempt | None = None
        self._opening: attempts.Opening | None = None
        self._search_from_s = 0.0

    @property
    def running(self) -> set[asyncio.Task[Any]]:
        """Return the task of the search or of the request that was sent."""
        if self._opening is not None:
            return {self._opening.task}
        return {self._task} if self._task is not None else set()

    @property
    def is_offered(self) -> bool:
        """Tell whether a successor may have the request."""
        return self._opening is not None

    @property
    def is_accepted(self) -> bool:
        """Tell whether the successor has accepted the request."""
        return self._opening is not None and isinstance(
            self._opening.state, handover.Accepted
        )

    def poll(self, now_s: float) -> bool:
        """Go on with the search; tell whether the stream moves now."""
        if self._task is None:
            if self._found is None and now_s >= self._search_from_s:
                self._task = asyncio.create_task(self._search())
        elif self._task.done():
            self._collect()
        if self._found is not None and self._opening is None:
            self._opening = self._send(self._found)
        if self._opening is None:
            return False
        match handover.decide(self._opening.state, False, now_s):
            case handover.Step.MOVE:
                return True
            case handover.Step.STAY:
                self._drop()
        return False

    def record_event(self, now_s: float) -> None:
        """End the search, as the silent endpoint sent a new event."""
        if (
            self._opening is None
            or handover.decide(self._opening.state, True, now_s)
            is handover.Step.STAY
        ):
            self.end()

    def take(self) -> attempts.StreamAttempt | None:
        """Return the attempt that was found, whose request is being sent."""
        found, self._found = self._found, None
        self._opening = None
        return found

    def end(self) -> None:
        """End the search and give back the retry of an unused attempt."""
        if self._task is not None and self._task.done():
            self._collect()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._drop()

    def _drop(self) -> None:
        """End the attempt that was found, if there is one."""
        found, self._found = self._found, None
        opening, self._opening = self._opening, None
        if found is None:
            return
        if opening is None or not opening.exchange.is_sent:
            self._budget.return_retry(self._service)
        if opening is not None:
            end = opening.unused_end()
            opening.close()
            self._end_unused(found, end)

    def _collect(self) -> None:
        """Keep the result of the search, which has ended.

        After an error the stream stays where it is and searches again later.
        """
        assert self._task is not None
        task, self._task = self._task, None
        try:
            self._found = task.result()
        except (Exception, asyncio.CancelledError) as error:
            # A cancellation comes from what the search waited for.
            now_s = asyncio.get_running_loop().time()
            self._search_from_s = now_s + policy.FULL_STREAM_PAUSE_S
            _LOG.error('Search for an endpoint failed.', exc_info=error)

    async def _search(self) -> attempts.StreamAttempt:
        while (found := await self._try()) is None:
            await asyncio.sleep(policy.FULL_STREAM_PAUSE_S)
        return found

    async def _try(self) -> attempts.StreamAttempt | None:
        if self._obstacle() is not None or not self._budget.try_retry(
            self._service, True
        ):
            return None
        found: attempts.StreamAttempt | None = None
        try:
            found = await self._choose()
        finally:
            if found is None:
                self._budget.return_retry(self._service)
        return found
