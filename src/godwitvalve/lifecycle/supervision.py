"""Keeps background tasks running through unexpected exceptions."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib
import random
import time
import traceback

from godwitvalve.logs import repeats
from godwitvalve.logs import setup as logs

FIRST_PAUSE_S = 0.1
# Endpoints that leave must be known within 2 s.
LONGEST_PAUSE_S = 1.0
# A task that ran for this long starts with the first pause again.
STEADY_S = 10.0
# Bounds the traceback in a log line; a recursion has a thousand frames.
MAX_FRAMES = 12
MAX_TRACEBACK_CHARS = 4000

Sleep = abc.Callable[[float], abc.Awaitable[None]]


class FailureLog:
    """Logs unexpected exceptions once a minute for each kind.

    :param log: logger of the component in which they occur.
    """

    def __init__(self, log: logs.PrefixLogger) -> None:
        self._log = log
        self._filter = repeats.RepeatFilter()

    def record(self, activity: str, error: BaseException) -> None:
        """Log an exception with the innermost frames of its traceback.

        :param activity: what failed; a kind is an activity and the type of
            the exception.
        """
        if not self._filter.admits((activity, type(error)), time.monotonic()):
            return
        lines = traceback.format_exception(error, limit=-MAX_FRAMES)
        self._log.error(
            'Unexpected exception.',
            extra={
                'activity': activity,
                'reason': type(error).__name__,
                'traceback': ''.join(lines)[-MAX_TRACEBACK_CHARS:],
            },
        )

    @contextlib.contextmanager
    def isolate(self, activity: str) -> abc.Iterator[None]:
        """Log an exception of the block and continue after it."""
        try:
            yield
        except Exception as error:
            self.record(activity, error)


class RestartPauses:
    """Pauses before the restarts of a task, which grow while it fails."""

    def __init__(self) -> None:
        self._next_s = FIRST_PAUSE_S

    def after_run(self, ran_s: float) -> float:
        """Return the pause in seconds after a run.

        :param ran_s: seconds from the start of the run to its end.
        """
        if ran_s >= STEADY_S:
            self._next_s = FIRST_PAUSE_S
        pause_s = self._next_s
        self._next_s = min(pause_s * 2, LONGEST_PAUSE_S)
        return pause_s


async def supervise(
    activity: str,
    work: abc.Callable[[], abc.Awaitable[None]],
    failures: FailureLog,
    sleep: Sleep = asyncio.sleep,
    clock_s: abc.Callable[[], float] = time.monotonic,
) -> None:
    """Run a background task and restart it when it ends, until cancelled.

    Load pattern: all entries read the same row at the same time, and their
    tasks fail together. Jitter spreads the calls of their restarts.

    :param work: starts one run of the task.
    :param sleep: waits for seconds.
    :param clock_s: returns monotonic seconds.
    """
    pauses = RestartPauses()
    task = asyncio.current_task()
    while True:
        began_s = clock_s()
        try:
            await work()
            raise RuntimeError('a background task returned')
        except asyncio.CancelledError as error:
            if task is None or task.cancelling():
                raise
            # Raised by what the task awaits, not by a stop.
            failures.record(activity, error)
        except Exception as error:
            failures.record(activity, error)
        pause_s = pauses.after_run(clock_s() - began_s)
        await sleep(pause_s * random.uniform(0.5, 1.0))
