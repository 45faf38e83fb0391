"""Searches for an endpoint while a stream waits at a silent one."""

from __future__ import annotations

import asyncio
from collections import abc

from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import replies
from godwitvalve.logs import setup as logs
from godwitvalve.routing import retry_budget

_LOG = logs.get('forwarding')


class Relocation:
    """Search for the next attempt of a stream, beside the current one.

    A found attempt has its retry and, if needed, its permit.

    :param obstacle: returns why the stream may not be sent again now.
    :param choose: returns an attempt that may be sent at once, or None.
    """

    def __init__(
        self,
        budget: retry_budget.RetryBudget,
        service: str,
        obstacle: abc.Callable[[], replies.IncompleteReason | None],
        choose: abc.Callable[[], abc.Awaitable[attempts.StreamAttempt | None]],
    ) -> None:
        self._budget = budget
        self._service = service
        self._obstacle = obstacle
        self._choose = choose
        self._task: asyncio.Task[attempts.StreamAttempt] | None = None
        self._found: attempts.StreamAttempt | None = None
        self._search_from_s = 0.0

    @property
    def running(self) -> set[asyncio.Task[attempts.StreamAttempt]]:
        """Return the task of the search while it runs."""
        return {self._task} if self._task is not None else set()

    def poll(self) -> bool:
        """Start the search if necessary; tell whether it has succeeded."""
        if self._task is None:
            now_s = asyncio.get_running_loop().time()
            if self._found is None and now_s >= self._search_from_s:
                self._task = asyncio.create_task(self._search())
        elif self._task.done():
            self._collect()
        return self._found is not None

    def take(self) -> attempts.StreamAttempt | None:
        """Return the attempt that was found, which must be sent at once."""
        found, self._found = self._found, None
        return found

    def end(self) -> None:
        """End the search and give back the retry of an unused attempt."""
        if self._task is not None and self._task.done():
            self._collect()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self.take() is not None:
            self._budget.return_retry(self._service)

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
