"""Forwards event streams and resumes them at other endpoints."""

from __future__ import annotations

import asyncio
from collections import abc
import contextlib

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import cached_prompts
from godwitvalve.forwarding import calls
from godwitvalve.forwarding import channel as channels
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import events
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import gaps
from godwitvalve.forwarding import in_flight
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import probes
from godwitvalve.forwarding import relocation as relocations
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import silence
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes
from godwitvalve.parsing import overhead as overheads
from godwitvalve.placement import choose
from godwitvalve.placement import speed as speed_model
from godwitvalve.placement import tracker as trackers
from godwitvalve.platform import headers as wire

# Shorter streams give no reliable time per event.
MIN_EVENTS_FOR_SPEED = 10
# Limits of the body of an answer other than 200. Endpoints send such answers
# at once, with bodies of a few hundred bytes.
MAX_ERROR_BODY_BYTES = 64 * 1024
ERROR_BODY_LIMIT_S = 1.0
# Events of an attempt after which its prompt counts as sound. A prompt that
# crashes endpoints does so as they begin to write.
MIN_SOUND_EVENTS = 8
# Reason of an attempt whose endpoint sent nothing for too long.
SILENT = 'silent'

_LOG = logs.get('forwarding')


class _PromptQuarantined(Exception):
    """The prompt is known to crash endpoints since it was sent."""


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
        self._sink = sink
        self._pending = pending or in_flight.RequestInFlight()
        self._loop = asyncio.get_running_loop()
        self._began_s = self._loop.time()
        self.times = attempts.StreamTimes()
        self._splitter = events.EventSplitter(routed.request.facts.last_event)
        self._gap_monitor = gaps.GapMonitor(
            routed.route.max_gap_ms / 1000,
            routed.route.objective_ms / 1000,
            context.paces.is_stated(routed.service),
        )
        self._segments = routed.request.facts.shared_segments
        self.prompt = cached_prompts.CachedPrompt(context, routed)
        self._tried_ids: set[str] = set()
        # Selects the version during a roll-out.
        self._draw = context.rng.random()
        self._may_confirm = context.limiter.may_confirm()
        self._current_exchange: exchanges.Exchange | None = None
        self._possible_runs = 0
        self._is_started = False
        self._last_attempt: attempts.StreamAttempt | None = None
        self._rejection: exchanges.Answered | None = None
        self._relocation: relocations.Relocation | None = None
        # Attempt that the stream goes on with, from the end of the one
        # before it.
        self._successor: attempts.StreamAttempt | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have run the stream."""
        return bool(
            self._possible_runs
            or (self._current_exchange and self._current_exchange.is_sent)
        )

    async def run(self) -> replies.Reply:
        """Return the result of the stream, at the latest at its deadline."""
        reply: replies.Reply | None = None
        try:
            reply = await self._forward_until_deadline()
            return reply
        finally:
            if self._successor is not None and self._successor.opening:
                self._successor.opening.close()
            self._context.sessions.end(
                self._routed.request.facts.session,
                reply == replies.Streamed(True),
                self._loop.time(),
            )

    async def _forward_until_deadline(self) -> replies.Reply:
        try:
            async with self._pending.limit(self._routed.deadline_s):
                return await self._forward()
        except asyncio.TimeoutError:
            reason = (
                replies.IncompleteReason.STOP_LIMIT
                if self._pending.is_interrupted
                else replies.IncompleteReason.DEADLINE
            )
            if self._is_started:
                return replies.Streamed(False, reason)
            if self.may_have_run:
                return replies.Failure(
                    codes.ResultCode.OUTCOME_UNKNOWN, True, reason
                )
            return replies.Refusal(
                codes.ResultCode.OVERLOADED, policy.NO_ENDPOINT_RETRY_AFTER_S
            )

    async def _forward(self) -> replies.Reply:
        if not self._can_meet_deadline():
            return replies.Refusal(
                codes.ResultCode.DEADLINE_BEFORE_SEND,
                policy.FULL_RETRY_AFTER_S,
            )
        attempt: attempts.StreamAttempt | None = None
        while True:
            self._pending.waits_for = in_flight.Wait.ENDPOINT
            if attempt is None and not self._is_admitted():
                return self._give_up(
                    codes.ResultCode.PROMPT_QUARANTINED,
                    self._time_to_admission_s(),
                    replies.IncompleteReason.QUARANTINED,
                )
            if attempt is None and not await self._wait_for_capacity():
                return self._give_up(
                    codes.ResultCode.OVERLOADED,
                    policy.FULL_RETRY_AFTER_S,
                    replies.IncompleteReason.NO_PERMIT
                    if self._context.has_exhausted(self._candidates())
                    else replies.IncompleteReason.NO_CAPACITY,
                )
            attempt = attempt or await self._next_attempt()
            if attempt is None:
                if await self._wait_for_endpoint():
                    continue
                refusal = self._context.refusal(
                    self._routed.service, self._candidates()
                )
                return self._give_up(
                    refusal.code,
                    refusal.retry_after_s,
                    replies.IncompleteReason.NO_PERMIT
                    if refusal.code is codes.ResultCode.ENDPOINT_LIMITS
                    else replies.IncompleteReason.NO_ENDPOINT,
                )
            end = await self._run_attempt(attempt)
            self._record_end(attempt, end)
            await self._record_crash(attempt, end)
            match end:
                case attempts.Completed():
                    return replies.Streamed(True)
                case attempts.Rejected(answer):
                    if self._is_final(end):
                        return answer
                    self._possible_runs += 1
                    self._rejection = answer
                case attempts.Interrupted(_, may_have_run):
                    self._possible_runs += may_have_run
                case attempts.Quarantined():
                    self._possible_runs += 1
                case exchanges.Declined() | attempts.Superseded():
                    pass
            self._current_exchange = None
            attempt = self._successor
            obstacle = None if attempt else await self._wait_to_retry(end)
            if obstacle is not None:
                return self._give_up(
                    codes.ResultCode.OVERLOADED,
                    policy.BUSY_RETRY_AFTER_S,
                    obstacle,
                )
            # Retries use the old version; the new one is not proven yet.
            self._draw = 1.0
            self._context.counters.count_retry(attempts.reason_label(end))

    def _is_final(self, end: attempts.AttemptEnd) -> bool:
        """Tell whether no attempt follows one that ended so."""
        match end:
            case attempts.Completed() | attempts.Quarantined():
                return True
            case attempts.Rejected(answer):
                return answer.head.status < 500 and not self._is_started
            case _:
                return False

    def _is_admitted(self) -> bool:
        return self._context.quarantine.admit(
            self._routed.service, self._segments, self._loop.time()
        )

    def _time_to_admission_s(self) -> float:
        admitted_from_s = self._context.quarantine.admitted_from_s(
            self._routed.service, self._segments
        )
        return max(admitted_from_s - self._loop.time(), 0.0)

    def _is_blocked(self) -> bool:
        blocked_until_s = self._context.quarantine.blocked_until_s(
            self._routed.service, self._segments
        )
        return self._loop.time() < blocked_until_s

    async def _record_crash(
        self, attempt: attempts.StreamAttempt, end: attempts.AttemptEnd
    ) -> None:
        """Record the segments if the endpoint crashed as it began to answer.

        An endpoint that broke off a single answer still accepts connections.
        """
        if (
            not isinstance(end, attempts.Interrupted)
            or not end.is_broken_off
            or not attempt.has_head
            or attempt.event_count >= MIN_SOUND_EVENTS
        ):
            return
        ended_s = self._loop.time()
        if await probes.accepts_connections(attempt.endpoint.address):
            return
        self._context.record_crash(
            attempt.endpoint, self._segments, attempt.began_s, ended_s
        )

    def _can_meet_deadline(self) -> bool:
        facts = self._routed.request.facts
        now_s = self._loop.time()
        session_endpoint = self._context.sessions.find(facts.session, now_s)
        return self._context.speeds.can_finish(
            self._routed.service,
            0 if session_endpoint else facts.prompt_tokens,
            facts.max_output_tokens,
            facts.last_event,
            (self._routed.deadline_s - now_s) * 1000,
        )

    def _record_speed(self, attempt: attempts.StreamAttempt) -> None:
        """Record the speed of a complete stream that took one attempt."""
        facts = self._routed.request.facts
        event_count = self._splitter.last_event
        if (
            attempt.memory_source
            or facts.last_event
            or event_count < MIN_EVENTS_FOR_SPEED
            or not facts.prompt_tokens
            or not facts.max_output_tokens
        ):
            return
        prompt_s = attempt.first_event_s - attempt.began_s
        events_s = self._loop.time() - attempt.first_event_s
        self._context.speeds.observe(
            self._routed.service,
            speed_model.SpeedEstimate(
                prompt_s * 1000 / facts.prompt_tokens,
                events_s * 1000 / (event_count - 1),
                event_count / facts.max_output_tokens,
            ),
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
            and self._is_started
            and await self._pause()
        ):
            obstacle = self._retry_obstacle(end)
        return obstacle

    def _retry_obstacle(
        self, end: attempts.AttemptEnd
    ) -> replies.IncompleteReason | None:
        """Return why the stream may not be retried; None if it may."""
        if isinstance(end, attempts.Quarantined):
            return replies.IncompleteReason.QUARANTINED
        obstacle = silence.obstacle(self._progress(self._possible_runs))
        if obstacle is not None:
            return obstacle
        if isinstance(end, attempts.Interrupted) and not end.may_have_run:
            # The request was not sent, so the next attempt is no repeat.
            return None
        if not self._context.budget.try_retry(self._routed.service, True):
            return replies.IncompleteReason.RETRY_BUDGET
        return None

    def _progress(self, possible_runs: int) -> silence.StreamProgress:
        route = self._routed.route
        return silence.StreamProgress(
            possible_runs,
            route.max_endpoints,
            route.is_resumable,
            self._routed.deadline_s - self._loop.time(),
        )

    def _candidates(self) -> list[endpoints.FleetEndpoint]:
        return self._context.candidates(self._routed.service, self._draw)

    async def _wait_for_capacity(self) -> bool:
        """Pause once every endpoint was tried; tell whether to continue.

        After a crash of a failure domain, the remaining endpoints have no
        memory for more streams until one of theirs ends. Trying all of
        them in a row would only use up the retry budget.
        """
        candidates = self._context.without_exhausted(self._candidates())
        if not candidates or not all(
            each.endpoint_id in self._tried_ids for each in candidates
        ):
            return True
        if self._usable_backup() is not None:
            return True
        if not await self._pause():
            return False
        self._tried_ids.clear()
        return True

    async def _wait_for_endpoint(self) -> bool:
        """Pause if a stream has no endpoint to go on at.

        A stream that may have run waits for a limit, one that has begun
        also for an endpoint to be listed. Others are refused instead.

        :returns: whether to try again.
        """
        if self._is_started:
            return await self._pause()
        if not self._context.has_exhausted(self._candidates()):
            return False
        if self._possible_runs:
            return await self._pause()
        # The old version may have endpoints without a limit.
        is_new_version = self._draw < 1.0
        self._draw = 1.0
        return is_new_version

    async def _pause(self) -> bool:
        """Pause before another attempt; tell whether there was time to."""
        now_s = self._loop.time()
        last_start_s = (
            self._routed.deadline_s - policy.MIN_TIME_TO_FIRST_EVENT_S
        )
        if not self._is_started:
            objective_s = self._routed.route.objective_ms / 1000
            last_start_s = min(
                last_start_s,
                self._began_s + objective_s - policy.MIN_TIME_TO_FIRST_EVENT_S,
            )
        if now_s + policy.FULL_STREAM_PAUSE_S > last_start_s:
            return False
        await asyncio.sleep(policy.FULL_STREAM_PAUSE_S)
        return True

    def _give_up(
        self,
        code: codes.ResultCode,
        retry_after_s: float,
        reason: replies.IncompleteReason,
    ) -> replies.Reply:
        if self._is_started:
            return replies.Streamed(False, reason)
        if self._rejection is not None:
            return self._rejection
        if self._possible_runs:
            return replies.Failure(
                codes.ResultCode.OUTCOME_UNKNOWN, reason=reason
            )
        return replies.Refusal(code, retry_after_s)

    def _relocation_obstacle(self) -> replies.IncompleteReason | None:
        if self._time_to_admission_s() > 0:
            return replies.IncompleteReason.QUARANTINED
        return silence.obstacle(self._progress(self._possible_runs + 1))

    async def _choose_successor(
        self, attempt: attempts.StreamAttempt
    ) -> attempts.StreamAttempt | None:
        """Return an attempt at an endpoint that has room and a permit."""

        def candidates() -> list[endpoints.FleetEndpoint]:
            # Retries use the old version; the new one is not proven yet.
            return silence.successors(
                self._context.candidates(self._routed.service, 1.0),
                attempt.endpoint.endpoint_id,
                self._context.endpoint_tracker,
                self._context.remote_placements(),
                self._loop.time(),
                attempt.ask_full_from_s,
            )

        has_copy = attempt.has_events and not attempt.is_backup_used
        backup = attempt.backup if has_copy else None
        successor: attempts.StreamAttempt | None = None
        if (
            backup is not None
            and backup in candidates()
            and await self._context.may_take(backup)
        ):
            successor = self._resumed_attempt(backup)
        else:
            are_tried = all(
                each.endpoint_id in self._tried_ids
                for each in self._context.without_exhausted(candidates())
            )
            endpoint = await self._select(
                candidates, set() if are_tried else self._tried_ids, False
            )
            if endpoint is not None:
                now_s = self._loop.time()
                successor = attempts.StreamAttempt(
                    endpoint, self._backup_for(endpoint, now_s), '', now_s
                )
        if successor is None or not self._is_admitted():
            return None
        return successor

    async def _select(
        self,
        candidates: abc.Callable[[], list[endpoints.FleetEndpoint]],
        tried_ids: set[str],
        may_confirm: bool,
    ) -> endpoints.FleetEndpoint | None:
        context = self._context
        session = self._routed.request.facts.session
        return await context.select(
            candidates,
            lambda usable, limits: choose.choose_stream(
                usable,
                context.endpoint_tracker,
                context.remote_placements(),
                tried_ids,
                context.failure_domain,
                self._loop.time(),
                context.rng,
                context.sessions.find(session, self._loop.time()),
                limits,
                self.prompt.savings(),
            ),
            may_confirm,
        )

    async def _next_attempt(self) -> attempts.StreamAttempt | None:
        resumed = await self._attempt_at_backup()
        if resumed is not None:
            return resumed
        endpoint = await self._select(
            self._candidates,
            self._tried_ids,
            self._may_confirm and not self.times.endpoints,
        )
        if endpoint is None:
            return None
        now_s = self._loop.time()
        return attempts.StreamAttempt(
            endpoint, self._backup_for(endpoint, now_s), '', now_s
        )

    def _usable_backup(self) -> endpoints.FleetEndpoint | None:
        """Return the backup of the last attempt unless it is leaving.

        It was chosen when that attempt began, seconds ago.
        """
        last = self._last_attempt
        if last is None or last.is_backup_used or last.backup is None:
            return None
        return last.backup if self._context.may_receive(last.backup) else None

    async def _attempt_at_backup(self) -> attempts.StreamAttempt | None:
        """Return an attempt at the backup of the last one, if it is usable."""
        endpoint = self._usable_backup()
        self._last_attempt = None
        if endpoint is None or not await self._context.may_take(endpoint):
            return None
        return self._resumed_attempt(endpoint)

    def _resumed_attempt(
        self, endpoint: endpoints.FleetEndpoint
    ) -> attempts.StreamAttempt:
        now_s = self._loop.time()
        request_id = self._routed.request.facts.request_id
        return attempts.StreamAttempt(
            endpoint,
            self._backup_for(endpoint, now_s),
            f'{endpoint.address}/{request_id}',
            now_s,
        )

    def _backup_for(
        self, endpoint: endpoints.FleetEndpoint, now_s: float
    ) -> endpoints.FleetEndpoint | None:
        context = self._context
        configuration = context.state.configuration
        service = (
            configuration.services.get(self._routed.service)
            if configuration
            else None
        )
        if (
            service is None
            or service.engine is None
            or not service.engine.has_backups
            or not self._routed.route.is_resumable
        ):
            return None
        return choose.choose_backup(
            self._candidates(),
            endpoint,
            context.endpoint_tracker,
            context.remote_placements(),
            now_s,
            context.rng,
            context.limiter.view(self._candidates(), False, now_s),
        )

    async def _run_attempt(
        self, attempt: attempts.StreamAttempt
    ) -> attempts.AttemptEnd:
        """Run an attempt; return its end. Sets the attempt that follows."""
        self._relocation = relocations.Relocation(
            self._context.budget,
            self._routed.service,
            self._relocation_obstacle,
            lambda: self._choose_successor(attempt),
            lambda successor: self._send_successor(attempt, successor),
            lambda successor, end: self._end_unused(attempt, successor, end),
        )
        try:
            end = await self._end_of(attempt)
            if not self._is_final(end):
                self._successor = self._relocation.take()
            return end
        finally:
            self._relocation.end()

    def _send_successor(
        self,
        attempt: attempts.StreamAttempt,
        successor: attempts.StreamAttempt,
    ) -> attempts.Opening:
        """Send a stream to a second endpoint while the first one is silent."""
        attempt.is_backup_used |= bool(successor.memory_source)
        return self._send(successor)

    def _end_unused(
        self,
        attempt: attempts.StreamAttempt,
        successor: attempts.StreamAttempt,
        end: attempts.AttemptEnd,
    ) -> None:
        """Record a successor's attempt, as the stream stays where it is."""
        match end:
            case attempts.Interrupted(_, may_have_run):
                self._possible_runs += may_have_run
            case attempts.Superseded(may_have_run):
                self._possible_runs += may_have_run
            case exchanges.Declined():
                attempt.ask_full_from_s = (
                    self._loop.time() + policy.FULL_STREAM_PAUSE_S
                )
            case _:
                pass
        self._record_end(successor, end)
        self._context.counters.count_retry(SILENT)

    def _send(self, attempt: attempts.StreamAttempt) -> attempts.Opening:
        """Begin to send an attempt."""
        self._tried_ids.add(attempt.endpoint.endpoint_id)
        self.times.endpoints.append(attempt.endpoint.endpoint_id)
        self._context.record_send(
            attempt.endpoint, self._routed.request.facts.request_id
        )
        exchange = exchanges.Exchange(
            attempt.endpoint,
            self._context.pool,
            self._context.record_head,
        )
        attempt.progress_s = self._loop.time()
        attempt.observation = self._context.rollouts.observe(
            attempt.endpoint,
            self._routed.route,
            self._loop.call_later,
            self._loop.time(),
        )
        attempt.opening = attempts.Opening(
            self._context, attempt, exchange, *self._request_for(attempt)
        )
        return attempt.opening

    async def _end_of(
        self, attempt: attempts.StreamAttempt
    ) -> attempts.AttemptEnd:
        opening = attempt.opening or self._send(attempt)
        exchange = opening.exchange
        self._successor = None
        routed = self._routed
        self._context.account_use.begin(routed.service, routed.account, True)
        try:
            self._context.sessions.begin(
                self._routed.request.facts.session,
                attempt.endpoint.endpoint_id,
            )
            self._pending.waits_for = (
                in_flight.Wait.EVENTS
                if self._is_started
                else in_flight.Wait.ANSWER
            )
            self._current_exchange = exchange
            return await self._relay(attempt, opening)
        except (channels.ConnectFailed, channels.ChannelBroken) as error:
            return attempts.interruption(error, exchange.is_sent)
        except events.StreamDamaged as error:
            return attempts.Interrupted(str(error), True, is_broken_off=True)
        except _PromptQuarantined:
            return attempts.Quarantined()
        finally:
            self._splitter.discard_partial()
            opening.close()
            self._context.account_use.end(routed.service, routed.account, True)

    async def _relay(
        self, attempt: attempts.StreamAttempt, opening: attempts.Opening
    ) -> attempts.AttemptEnd:
        exchange = opening.exchange
        head = await self._await_responsive(attempt, opening.task)
        if head is None:
            return attempts.Interrupted(SILENT, True)
        now_s = self._loop.time()
        attempt.has_head = True
        self._record_progress(attempt)
        self._context.endpoint_tracker.record_load(
            attempt.endpoint.endpoint_id, head.facts.load, now_s
        )
        if head.facts.is_not_run:
            return exchanges.Declined(head.status, head.facts.load)
        if head.facts.is_unproven_refusal:
            return attempts.Interrupted(
                f'status {head.status} without proof', True
            )
        if head.facts.is_encoded:
            return attempts.Interrupted('encoded answer', True)
        if head.status != 200:
            return await self._read_rejection(attempt, exchange, head)
        chunks = exchange.chunks()
        while True:
            chunk = await self._await_responsive(
                attempt, asyncio.create_task(_next_chunk(chunks))
            )
            if chunk is None:
                return attempts.Interrupted(SILENT, True)
            if not chunk:
                break
            is_progress = await self._forward_events(attempt, head, chunk)
            if not is_progress and self._may_leave(attempt):
                return attempts.Interrupted('no new event', True)
        if self._splitter.has_partial:
            return attempts.Interrupted(
                'ended inside an event', True, is_broken_off=True
            )
        if not self._is_started:
            if not head.facts.is_framed:
                return attempts.Interrupted(
                    'ended without events', True, is_broken_off=True
                )
            await self._start_answer(head)
        return attempts.Completed()

    async def _read_rejection(
        self,
        attempt: attempts.StreamAttempt,
        exchange: exchanges.Exchange,
        head: exchanges.AnswerHead,
    ) -> attempts.AttemptEnd:
        if attempt.observation:
            attempt.observation.record_answer(head.status >= 500)
        try:
            async with asyncio.timeout(ERROR_BODY_LIMIT_S):
                body = await exchange.read_body(MAX_ERROR_BODY_BYTES)
        except asyncio.TimeoutError:
            return attempts.Interrupted('incomplete error answer', True)
        return attempts.Rejected(exchanges.Answered(head, body))

    def _request_for(
        self, attempt: attempts.StreamAttempt
    ) -> tuple[exchanges.CallerRequest, wire.SendFacts]:
        routed = self._routed
        return routed.request, wire.SendFacts(
            attempt.endpoint.endpoint_id,
            (routed.deadline_s - self._loop.time()) * 1000,
            routed.account,
            routed.urgency,
            self._splitter.last_event,
            attempt.backup.address if attempt.backup else '',
            attempt.memory_source,
        )

    async def _await_responsive(
        self, attempt: attempts.StreamAttempt, task: asyncio.Task[gaps.Awaited]
    ) -> gaps.Awaited | None:
        """Wait for a task; None if the endpoint is unresponsive.

        :raises _PromptQuarantined: if the prompt turns out to crash
            endpoints before this one began to answer.
        """
        assert self._relocation is not None
        try:
            while True:
                await asyncio.wait(
                    {task, *self._relocation.running},
                    timeout=gaps.POLL_PERIOD_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                has_failed = task.done() and (
                    task.cancelled() or task.exception() is not None
                )
                if self._relocation.is_accepted and not has_failed:
                    return None
                if task.done():
                    return task.result()
                if not attempt.has_events and self._is_blocked():
                    raise _PromptQuarantined
                if self._may_leave(attempt):
                    return None
                # A check would prolong the time with two endpoints.
                if not self._relocation.is_offered and self._is_check_due(
                    attempt
                ):
                    await self._check_connection(attempt)
        except asyncio.CancelledError:
            self._record_stall(attempt)
            raise
        finally:
            if not task.done():
                task.cancel()

    async def _check_connection(self, attempt: attempts.StreamAttempt) -> None:
        """Record whether the endpoint of an attempt accepts connections."""
        if not attempt.has_events:
            attempt.is_unreachable = not await probes.accepts_connections(
                attempt.endpoint.address
            )
            return
        # The gap decides if the check takes too long.
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(gaps.SHARED_CHECK_LIMIT_S):
                attempt.is_reachable = await probes.accepts_connections(
                    attempt.endpoint.address
                )

    def _may_leave(self, attempt: attempts.StreamAttempt) -> bool:
        """Tell whether an attempt ends because its endpoint is silent.

        A stream leaves an endpoint that may go on only if it certainly may
        go on elsewhere.
        """
        assert self._relocation is not None
        # Events show that the endpoint still answers.
        is_replaced = (
            not attempt.has_events
            and self._context.state.registry.is_replaced(
                attempt.endpoint.endpoint_id
            )
        )
        if not (
            attempt.is_unreachable
            or is_replaced
            or self._is_unresponsive(attempt)
        ):
            self._relocation.end()
            return False
        if not self._declare_lost(attempt):
            # A search that has ended would end each wait at once.
            self._relocation.end()
            return False
        return self._relocation.poll(self._loop.time())

    def _record_progress(self, attempt: attempts.StreamAttempt) -> None:
        assert self._relocation is not None
        attempt.progress_s = self._loop.time()
        attempt.is_unreachable = attempt.is_reachable = False
        self._relocation.record_event(attempt.progress_s)
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
        return self._gap_monitor.is_unresponsive(
            now_s - since_s,
            attempt.has_events,
            is_reported_lost,
            attempt.is_reachable,
        )

    def _record_stall(self, attempt: attempts.StreamAttempt) -> None:
        """Record a failure if the endpoint held the request up to its end."""
        idle_s = self._loop.time() - attempt.progress_s
        if self._gap_monitor.is_stalled(idle_s, attempt.has_events):
            self._context.endpoint_tracker.record_failure(
                attempt.endpoint.endpoint_id, self._loop.time()
            )
            _LOG.info(
                'Endpoint held a request until it ended.',
                extra={
                    'request_id': self._routed.request.facts.request_id,
                    'endpoint_id': attempt.endpoint.endpoint_id,
                    'idle_s': round(idle_s, 3),
                },
            )

    def _is_check_due(self, attempt: attempts.StreamAttempt) -> bool:
        now_s = self._loop.time()
        idle_s = now_s - max(attempt.progress_s, attempt.last_check_s)
        is_due = self._gap_monitor.is_check_due(idle_s, attempt.has_events)
        if is_due:
            attempt.last_check_s = now_s
        return is_due

    def _declare_lost(self, attempt: attempts.StreamAttempt) -> bool:
        """Mark the endpoint lost if the stream may move; tell whether so."""
        if silence.obstacle(self._progress(self._possible_runs + 1)):
            return False
        if not attempt.is_declared_lost:
            attempt.is_declared_lost = True
            self._context.endpoint_tracker.record_loss(
                attempt.endpoint.endpoint_id, self._loop.time()
            )
            self._context.on_placement_changed()
        return True

    async def _forward_events(
        self,
        attempt: attempts.StreamAttempt,
        head: exchanges.AnswerHead,
        chunk: bytes,
    ) -> bool:
        """Pass on the events that a chunk completes; tell if there are any."""
        complete = self._splitter.feed(chunk)
        if not complete:
            return False
        if attempt.opening is not None:
            attempt.opening.exchange.pay(
                len(complete) * overheads.PARTS_PER_EVENT
            )
        assert self._relocation is not None
        # Before the caller is sent to, which may take long.
        self._relocation.record_event(self._loop.time())
        if not attempt.has_events:
            self._record_first_event(attempt)
        if not self._is_started:
            await self._start_answer(head)
        self._record_sent()
        await self._sink.send(b''.join(event.content for event in complete))
        self._record_progress(attempt)
        self._record_events(attempt, len(complete))
        return True

    def _record_events(
        self, attempt: attempts.StreamAttempt, count: int
    ) -> None:
        was_sound = attempt.event_count >= MIN_SOUND_EVENTS
        attempt.event_count += count
        if attempt.event_count >= MIN_SOUND_EVENTS and not was_sound:
            self._record_sound(attempt)

    def _record_sound(self, attempt: attempts.StreamAttempt) -> None:
        self._context.record_sound(
            self._routed.service, self._segments, attempt.first_event_s
        )

    def _record_sent(self) -> None:
        now_s = self._loop.time()
        times = self.times
        if times.last_sent_s:
            gap_s = now_s - times.last_sent_s
            times.longest_gap_s = max(times.longest_gap_s, gap_s)
        else:
            times.first_event_s = now_s - self._began_s
        times.last_sent_s = now_s

    async def _start_answer(self, head: exchanges.AnswerHead) -> None:
        self._is_started = True
        self._pending.has_begun = True
        self._pending.waits_for = in_flight.Wait.EVENTS
        await self._sink.start(head)
        self._context.counters.observe_first_event(
            self._routed.route.name, self._loop.time() - self._began_s
        )

    def _record_first_event(self, attempt: attempts.StreamAttempt) -> None:
        if attempt.observation:
            attempt.observation.record_answer(False)
        attempt.first_event_s = self._loop.time()
        self._context.endpoint_tracker.stats(
            attempt.endpoint.endpoint_id
        ).starting -= 1
        self.prompt.record_begin(attempt)
        self._context.endpoint_tracker.record_success(
            attempt.endpoint.endpoint_id, None, self._loop.time()
        )
        self._context.on_placement_changed()

    def _record_interruption(
        self, attempt: attempts.StreamAttempt, end: attempts.Interrupted
    ) -> None:
        """Record a failure, or the loss of an endpoint not connected to.

        A single interrupted stream may be a fault of that stream alone.
        """
        tracker = self._context.endpoint_tracker
        now_s = self._loop.time()
        if end.may_have_run:
            self._context.counters.count_lost(attempts.reason_label(end))
            tracker.record_failure(attempt.endpoint.endpoint_id, now_s)
        else:
            tracker.record_loss(attempt.endpoint.endpoint_id, now_s)
            self._context.on_placement_changed()

    def _record_end(
        self, attempt: attempts.StreamAttempt, end: attempts.AttemptEnd
    ) -> None:
        self._last_attempt = None
        match end:
            case attempts.Completed():
                self._record_speed(attempt)
                if attempt.has_events:
                    self._record_sound(attempt)
                    self.prompt.record_end(attempt)
                return
            case attempts.Interrupted():
                # Before its first event an attempt has no copy.
                self._last_attempt = attempt if attempt.has_events else None
                self.times.silent_count += end.reason == SILENT
                self._record_interruption(attempt, end)
                if attempt.has_events:
                    self._context.on_endpoint_lost(
                        attempt.endpoint, attempt.last_activity_s
                    )
            case exchanges.Declined(wire.MISDIRECTED):
                self._context.mark_replaced(attempt.endpoint)
            case exchanges.Declined():
                self._context.endpoint_tracker.record_full(
                    attempt.endpoint.endpoint_id, self._loop.time()
                )
                self._context.account_use.mark_full(
                    self._routed.service, self._loop.time()
                )
            case _:
                pass
        _LOG.info(
            'Stream attempt ended early.',
            extra={
                'request_id': self._routed.request.facts.request_id,
                'endpoint_id': attempt.endpoint.endpoint_id,
                'outcome': type(end).__name__,
                'reason': attempts.reason_label(end),
                'has_head': attempt.has_head,
                'segments': self._segments,
                'last_event': self._splitter.last_event,
                'memory_source': attempt.memory_source,
                'run_s': round(self._loop.time() - attempt.began_s, 3),
            },
        )


async def _next_chunk(chunks: abc.AsyncIterator[bytes]) -> bytes:
    """Return the next bytes, or b'' at the end of the body."""
    async for chunk in chunks:
        if chunk:
            return chunk
    return b''
