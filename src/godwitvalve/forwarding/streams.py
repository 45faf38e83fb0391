"""Forwards event streams and resumes them at other endpoints."""

from __future__ import annotations

import asyncio

from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import calls
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import in_flight
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import silence
from godwitvalve.forwarding import speed_meter
from godwitvalve.forwarding import stream_attempt
from godwitvalve.forwarding import stream_placement
from godwitvalve.forwarding import stream_records
from godwitvalve.forwarding import stream_state
from godwitvalve.forwarding import stream_turns
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes

_LOG = logs.get('forwarding')


def can_meet_deadline(
    context: contexts.ForwardingContext,
    routed: calls.RoutedRequest,
    state: stream_state.StreamState,
) -> bool:
    """Tell whether a stream that is sent now can end before its deadline."""
    facts = routed.request.facts
    now_s = state.loop.time()
    session_endpoint = context.sessions.find(facts.session, now_s)
    return context.speeds.can_finish(
        routed.service,
        0 if session_endpoint else facts.prompt_tokens,
        facts.max_output_tokens,
        facts.last_event,
        (routed.deadline_s - now_s) * 1000,
        speed_meter.least_work(context, state.candidates(), now_s),
    )


class StreamForwarder:
    """Forwards one stream and resumes it after a lost attempt."""

    def __init__(
        self,
        context: contexts.ForwardingContext,
        routed: calls.RoutedRequest,
        sink: attempts.Sink,
        pending: in_flight.RequestInFlight | None = None,
    ) -> None:
        self._context = context
        self._routed = routed
        self._state = stream_state.StreamState(
            context, routed, sink, pending or in_flight.RequestInFlight()
        )
        self._loop = self._state.loop
        self.times = self._state.times
        self.prompt = self._state.prompt
        self._turn = stream_turns.StreamTurn(self._state)
        self._placement = stream_placement.StreamPlacement(
            self._state, self._turn
        )
        self._records = stream_records.StreamRecords(self._state)
        self._runner = stream_attempt.AttemptRunner(
            self._state, self._placement, self._records
        )
        self._rejection: exchanges.Answered | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have run the stream."""
        return self._state.may_have_run

    async def run(self) -> replies.Reply:
        """Return the result of the stream, at the latest at its deadline."""
        reply: replies.Reply | None = None
        try:
            reply = await self._forward_until_deadline()
            return reply
        finally:
            self._turn.end()
            if (
                self._runner.successor is not None
                and self._runner.successor.opening
            ):
                self._runner.successor.opening.close()
            self._context.sessions.end(
                self._routed.request.facts.session,
                reply == replies.Streamed(True),
                self._loop.time(),
            )

    async def _forward_until_deadline(self) -> replies.Reply:
        try:
            async with self._state.pending.limit(self._routed.deadline_s):
                return await self._forward()
        except asyncio.TimeoutError:
            reason = (
                replies.IncompleteReason.STOP_LIMIT
                if self._state.pending.is_interrupted
                else replies.IncompleteReason.DEADLINE
            )
            if self._state.is_started:
                return replies.Streamed(False, reason)
            if self._state.may_have_run:
                return replies.Failure(
                    codes.ResultCode.OUTCOME_UNKNOWN, True, reason
                )
            return replies.Refusal(
                codes.ResultCode.OVERLOADED, policy.NO_ENDPOINT_RETRY_AFTER_S
            )

    async def _forward(self) -> replies.Reply:
        self._context.quarantine.record_prompt(
            self._routed.service, self._state.segments
        )
        if (
            not can_meet_deadline(self._context, self._routed, self._state)
            and not self._state.begin_trial()
        ):
            return replies.Refusal(
                codes.ResultCode.DEADLINE_BEFORE_SEND,
                policy.FULL_RETRY_AFTER_S,
            )
        attempt: attempts.StreamAttempt | None = None
        while True:
            self._state.pending.waits_for = in_flight.Wait.ENDPOINT
            if attempt is None and not self._state.is_admitted():
                self._log_quarantine()
                return self._give_up(
                    codes.ResultCode.PROMPT_QUARANTINED,
                    self._state.time_to_admission_s(),
                    replies.IncompleteReason.QUARANTINED,
                )
            if attempt is None and not await self._wait_for_capacity():
                return self._give_up(
                    codes.ResultCode.OVERLOADED,
                    policy.FULL_RETRY_AFTER_S,
                    replies.IncompleteReason.NO_PERMIT
                    if self._context.has_exhausted(self._state.candidates())
                    else replies.IncompleteReason.NO_CAPACITY,
                )
            if attempt is None:
                refusal = await self._turn.begin()
                if refusal is not None:
                    return refusal
            attempt = attempt or await self._placement.next_attempt()
            if attempt is None:
                if await self._wait_for_endpoint():
                    continue
                no_endpoint = self._context.refusal(
                    self._routed.service, self._state.candidates()
                )
                return self._give_up(
                    no_endpoint.code,
                    no_endpoint.retry_after_s,
                    replies.IncompleteReason.NO_PERMIT
                    if no_endpoint.code is codes.ResultCode.ENDPOINT_LIMITS
                    else replies.IncompleteReason.NO_ENDPOINT,
                )
            end = await self._runner.run_attempt(attempt)
            self._records.record_end(attempt, end)
            if (check := self._records.check_crash(attempt, end)) is not None:
                await check
            match end:
                case attempts.Completed():
                    self._turn.complete()
                    return replies.Streamed(True)
                case attempts.Rejected(answer):
                    if self._runner.is_final(end):
                        return answer
                    self._state.possible_runs += 1
                    self._rejection = answer
                case attempts.Interrupted(_, may_have_run):
                    self._state.possible_runs += may_have_run
                case attempts.Quarantined():
                    self._log_quarantine()
                    self._state.possible_runs += 1
                case exchanges.Declined() | attempts.Superseded():
                    pass
            self._state.current_exchange = None
            attempt = self._runner.successor
            obstacle = None if attempt else await self._wait_to_retry(end)
            if obstacle is not None:
                return self._give_up(
                    codes.ResultCode.OVERLOADED,
                    policy.BUSY_RETRY_AFTER_S,
                    obstacle,
                )
            # Retries use the old version; the new one is not proven yet.
            self._state.draw = 1.0
            self._context.counters.count_retry(attempts.reason_label(end))

    def _log_quarantine(self) -> None:
        _LOG.info(
            'Prompt is quarantined.',
            extra={
                'request_id': self._routed.request.facts.request_id,
                'blocks': self._state.quarantine_evidence(),
            },
        )

    async def _wait_to_retry(
        self, end: attempts.AttemptEnd
    ) -> replies.IncompleteReason | None:
        """Return why the stream may not be retried; None if it may.

        A stream that has begun waits for the retry budget: its caller waits
        for at least 2 s, and for four times the objective.
        """
        obstacle = self._retry_obstacle(end)
        while (
            obstacle is replies.IncompleteReason.RETRY_BUDGET
            and self._state.is_started
            and await self._pause(is_for_room=False)
        ):
            obstacle = self._retry_obstacle(end)
        return obstacle

    def _retry_obstacle(
        self, end: attempts.AttemptEnd
    ) -> replies.IncompleteReason | None:
        """Return why the stream may not be retried; None if it may."""
        if isinstance(end, attempts.Quarantined):
            return replies.IncompleteReason.QUARANTINED
        obstacle = silence.obstacle(
            self._state.progress(self._state.possible_runs)
        )
        if obstacle is not None:
            return obstacle
        if isinstance(end, attempts.Interrupted) and not end.may_have_run:
            # The request was not sent, so the next attempt is no repeat.
            return None
        if not self._context.budget.try_retry(self._routed.service, True):
            return replies.IncompleteReason.RETRY_BUDGET
        return None

    async def _wait_for_capacity(self) -> bool:
        """Pause once every endpoint was tried; tell whether to continue.

        After a crash of a failure domain, the remaining endpoints have no
        memory for more streams until one of theirs ends. Trying all of
        them in a row would only use up the retry budget.
        """
        candidates = self._context.without_exhausted(self._state.candidates())
        if not candidates or not all(
            each.endpoint_id in self._state.tried_ids for each in candidates
        ):
            return True
        if self._placement.usable_backup() is not None:
            return True
        if not await self._pause():
            return False
        self._state.tried_ids.clear()
        return True

    async def _wait_for_endpoint(self) -> bool:
        """Pause if a stream has no endpoint to go on at.

        A stream that may have run waits for a limit, one that has begun
        also for an endpoint to be listed. Others are refused instead.

        :returns: whether to try again.
        """
        if self._state.is_started:
            return await self._pause()
        if not self._context.has_exhausted(self._state.candidates()):
            return False
        if self._state.possible_runs:
            return await self._pause()
        # The old version may have endpoints without a limit.
        is_new_version = self._state.draw < 1.0
        self._state.draw = 1.0
        return is_new_version

    async def _pause(self, is_for_room: bool = True) -> bool:
        """Pause before another attempt; tell whether there was time to.

        :param is_for_room: whether new streams leave room for this one.
        """
        now_s = self._loop.time()
        last_start_s = (
            self._routed.deadline_s - policy.MIN_TIME_TO_FIRST_EVENT_S
        )
        if not self._state.is_started:
            objective_s = self._routed.route.objective_ms / 1000
            last_start_s = min(
                last_start_s,
                self._state.began_s
                + objective_s
                - policy.MIN_TIME_TO_FIRST_EVENT_S,
            )
        if now_s + policy.FULL_STREAM_PAUSE_S > last_start_s:
            return False
        await self._turn.pause(policy.FULL_STREAM_PAUSE_S, is_for_room)
        return True

    def _give_up(
        self,
        code: codes.ResultCode,
        retry_after_s: float,
        reason: replies.IncompleteReason,
    ) -> replies.Reply:
        if self._state.is_started:
            return replies.Streamed(False, reason)
        if self._rejection is not None:
            return self._rejection
        if self._state.possible_runs:
            return replies.Failure(
                codes.ResultCode.OUTCOME_UNKNOWN, reason=reason
            )
        return replies.Refusal(code, retry_after_s)
