"""Detects that the endpoint of a stream is silent."""

from __future__ import annotations

import asyncio

from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import gaps
from godwitvalve.forwarding import probes
from godwitvalve.forwarding import silence
from godwitvalve.forwarding import stream_records
from godwitvalve.forwarding import stream_state
from godwitvalve.placement import tracker as trackers


class PromptQuarantined(Exception):
    """The prompt is known to crash endpoints since it was sent."""


class SilenceWatch:
    """Waits for the endpoint of a stream as long as it may be silent."""

    def __init__(
        self,
        state: stream_state.StreamState,
        records: stream_records.StreamRecords,
    ) -> None:
        self._state = state
        self._context = state.context
        self._routed = state.routed
        self._loop = state.loop
        self._records = records

    async def await_responsive(
        self, attempt: attempts.StreamAttempt, task: asyncio.Task[gaps.Awaited]
    ) -> gaps.Awaited | None:
        """Wait for a task; None if the endpoint is unresponsive.

        :raises PromptQuarantined: if the prompt turns out to crash
            endpoints before this one began to answer.
        """
        assert self._state.relocation is not None
        try:
            while True:
                await asyncio.wait(
                    {task, *self._state.relocation.running},
                    timeout=gaps.POLL_PERIOD_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                has_failed = task.done() and (
                    task.cancelled() or task.exception() is not None
                )
                if self._state.relocation.is_accepted and not has_failed:
                    return None
                if task.done():
                    return task.result()
                if not attempt.has_events and self._state.is_blocked():
                    raise PromptQuarantined
                if self.may_leave(attempt):
                    return None
                # A check would prolong the time with two endpoints.
                if (
                    not self._state.relocation.is_offered
                    and self._is_check_due(attempt)
                ):
                    await self._check_connection(attempt, task)
        except asyncio.CancelledError:
            self._records.record_stall(attempt)
            raise
        finally:
            if not task.done():
                task.cancel()

    async def _check_connection(
        self, attempt: attempts.StreamAttempt, task: asyncio.Task[gaps.Awaited]
    ) -> None:
        """Record whether the endpoint of an attempt accepts connections.

        :param task: ends the check when done, as an answer is more than the
            check can tell, and must not wait for it.
        """
        check = asyncio.create_task(
            probes.accepts_connections(attempt.endpoint.address)
        )
        limit_s = gaps.SHARED_CHECK_LIMIT_S if attempt.has_events else None
        try:
            await asyncio.wait(
                {check, task},
                timeout=limit_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not check.done() and task.done():
                return
            # The gap decides if the check takes too long, also if an earlier
            # one succeeded: a lost endpoint may have been slow before.
            is_accepted = check.done() and check.result()
        finally:
            check.cancel()
        if attempt.has_events:
            attempt.is_reachable = is_accepted
        else:
            attempt.is_unreachable = not is_accepted

    def may_leave(self, attempt: attempts.StreamAttempt) -> bool:
        """Tell whether an attempt ends because its endpoint is silent.

        A stream leaves an endpoint that may go on only if it certainly may
        go on elsewhere.
        """
        assert self._state.relocation is not None
        # Events show that the endpoint still answers.
        is_replaced = (
            not attempt.has_events
            and self._context.state.registry.is_superseded(attempt.endpoint)
        )
        if not (
            attempt.is_unreachable
            or is_replaced
            or self._is_unresponsive(attempt)
        ):
            self._state.relocation.end()
            return False
        if not self._declare_lost(attempt):
            # A search that has ended would end each wait at once.
            self._state.relocation.end()
            return False
        return self._state.relocation.poll(self._loop.time())

    def record_progress(self, attempt: attempts.StreamAttempt) -> None:
        """Record a head or a new event of an attempt."""
        assert self._state.relocation is not None
        attempt.progress_s = self._loop.time()
        attempt.is_unreachable = attempt.is_reachable = False
        self._state.relocation.record_event(attempt.progress_s)
        if attempt.is_declared_lost:
            attempt.is_declared_lost = False
            self._context.endpoint_tracker.record_recovery(
                attempt.endpoint.endpoint_id, attempt.progress_s
            )
            self._context.on_placement_changed()

    def _is_unresponsive(self, attempt: attempts.StreamAttempt) -> bool:
        now_s = self._loop.time()
        since_s = attempt.progress_s
        stats = self._context.endpoint_tracker.stats(
            attempt.endpoint.endpoint_id
        )
        is_reported_lost = (
            max(
                stats.lost_at_s,
                stats.loss_reported_at_s - trackers.LOSS_REPORT_S,
            )
            > since_s
        )
        return self._state.gap_monitor.is_unresponsive(
            now_s - since_s,
            attempt.has_events,
            is_reported_lost,
            attempt.is_reachable,
        )

    def _is_check_due(self, attempt: attempts.StreamAttempt) -> bool:
        now_s = self._loop.time()
        idle_s = now_s - max(attempt.progress_s, attempt.last_check_s)
        is_due = self._state.gap_monitor.is_check_due(
            idle_s, attempt.has_events
        )
        if is_due:
            attempt.last_check_s = now_s
        return is_due

    def _declare_lost(self, attempt: attempts.StreamAttempt) -> bool:
        """Mark the endpoint lost if the stream may move; tell whether so."""
        if silence.obstacle(
            self._state.progress(self._state.possible_runs + 1)
        ):
            return False
        if not attempt.is_declared_lost:
            attempt.is_declared_lost = True
            self._context.endpoint_tracker.record_loss(
                attempt.endpoint.endpoint_id, self._loop.time()
            )
            self._context.on_placement_changed()
        return True
