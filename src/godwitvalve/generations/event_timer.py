"""Waits for stream events with a time-out."""

from __future__ import annotations

import asyncio
from collections import abc

from godwitvalve.engine import port


class EventTimeout(Exception):
    """No event arrived before the time-out."""


class EventTimer:
    """One timer for all waits of one generation.

    The timer is usually rescheduled only when it fires, so that a wait
    needs no timer of its own. A timer that fires late shows that this
    process was paused; the engine then gets a short grace period, because
    its events may already be in the socket buffer.
    """

    LATE_THRESHOLD_S = 0.1
    GRACE_PERIOD_S = 0.2

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._due_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._waiter: asyncio.Task[object] | None = None
        self._is_expired = False
        self._grace_used = False

    async def next_event(
        self,
        events: abc.AsyncGenerator[port.EngineEvent, None],
        timeout_s: float,
    ) -> port.EngineEvent:
        """Return the next event.

        :param timeout_s: seconds to wait.
        :raises EventTimeout: if none arrived; the stream is then closed.
        """
        self._due_s = self._loop.time() + timeout_s
        if self._timer is None or self._timer.when() > self._due_s:
            self._schedule(self._due_s)
        waiter = asyncio.current_task()
        assert waiter is not None
        cancelling = waiter.cancelling()
        self._waiter = waiter
        self._is_expired = self._grace_used = False
        try:
            return await events.__anext__()
        except asyncio.CancelledError:
            # Another cancellation of the task takes precedence.
            if self._is_expired and waiter.cancelling() == cancelling + 1:
                raise EventTimeout() from None
            raise
        except StopAsyncIteration:
            raise port.EngineError('ended_early', sent=True) from None
        finally:
            self._waiter = None
            if self._is_expired:
                waiter.uncancel()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, when_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(when_s, self._handle_timer)

    def _handle_timer(self) -> None:
        assert self._timer is not None
        late_s = self._loop.time() - self._timer.when()
        self._timer = None
        if self._waiter is None:
            return
        if self._loop.time() < self._due_s:
            self._schedule(self._due_s)
        elif late_s > self.LATE_THRESHOLD_S and not self._grace_used:
            self._grace_used = True
            self._due_s = self._loop.time() + self.GRACE_PERIOD_S
            self._schedule(self._due_s)
        else:
            self._is_expired = True
            self._waiter.cancel()
