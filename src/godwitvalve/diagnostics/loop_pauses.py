"""Finds pauses of the event loop by a timer that fires late.

Performs no input or output.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

# A request that ends is told about the pauses of so many seconds before it.
RECENT_S = 1.0


class Pause(NamedTuple):
    """Time by which a timer fired late.

    The pause may have begun up to one period of the timer before ``due_s``.

    :ivar due_s: when the timer was due, in monotonic seconds.
    :ivar ended_s: when it fired, in monotonic seconds.
    :ivar computed_s: processor time of the event loop's thread since the
        timer fired before.
    """

    due_s: float
    ended_s: float
    computed_s: float

    @property
    def held_up_s(self) -> float:
        """Return the seconds by which the timer was late."""
        return self.ended_s - self.due_s

    @property
    def not_computed_s(self) -> float:
        """Return the least of these seconds in which the thread did not run.

        It waited for a processor, for a page of memory or in a blocking call.
        """
        return max(self.held_up_s - self.computed_s, 0.0)


class LoopPauses:
    """Measures how late a periodic timer of the event loop is.

    Load pattern: one callback computes for long, or the machine gives the
    process no processor; requests in flight wait in both cases.

    :param period_s: period of the timer in seconds.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._due_s: float | None = None
        self._fired_thread_s = 0.0
        self._recent: collections.deque[Pause] = collections.deque()

    def record(self, now_s: float, thread_s: float) -> Pause | None:
        """Record that the timer fired; return how late it was.

        :param now_s: monotonic seconds.
        :param thread_s: processor time of the thread since its start.
        :returns: None when it fires for the first time.
        """
        due_s, self._due_s = self._due_s, now_s + self._period_s
        fired_thread_s, self._fired_thread_s = self._fired_thread_s, thread_s
        if due_s is None:
            return None
        pause = Pause(
            due_s, max(now_s, due_s), max(thread_s - fired_thread_s, 0.0)
        )
        self._recent.append(pause)
        self._expire(now_s)
        return pause

    def longest_s(self, now_s: float) -> float:
        """Return the longest recent pause in seconds.

        A timer that is overdue counts, as its callback may run after those
        of the requests that the same pause held up.

        :param now_s: monotonic seconds.
        """
        self._expire(now_s)
        overdue_s = 0.0 if self._due_s is None else now_s - self._due_s
        held_up_s = (each.held_up_s for each in self._recent)
        return max(overdue_s, 0.0, *held_up_s)

    def _expire(self, now_s: float) -> None:
        while self._recent and self._recent[0].ended_s < now_s - RECENT_S:
            self._recent.popleft()
