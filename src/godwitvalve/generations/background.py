"""Short tasks that outlive the request that started them."""

from __future__ import annotations

import asyncio
from collections import abc


class BackgroundTasks:
    """Keeps references to tasks and cancels them on close.

    :param max_tasks: limit of running tasks; further work is dropped.
    """

    def __init__(self, max_tasks: int = 1000) -> None:
        self._max_tasks = max_tasks
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, work: abc.Coroutine[object, object, None]) -> None:
        """Run a coroutine in the background unless the limit is reached."""
        if len(self._tasks) >= self._max_tasks:
            work.close()
            return
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieved so that the loop does not report it as unhandled.
            task.exception()

    async def close(self) -> None:
        """Cancel the running tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
