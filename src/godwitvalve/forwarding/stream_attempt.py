"""Runs one attempt of a stream and passes on its events."""

from __future__ import annotations

import asyncio
from collections import abc

from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import channel as channels
from godwitvalve.forwarding import events
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import in_flight
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import relocation as relocations
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import silence
from godwitvalve.forwarding import speed_meter
from godwitvalve.forwarding import stream_placement
from godwitvalve.forwarding import stream_records
from godwitvalve.forwarding import stream_silence
from godwitvalve.forwarding import stream_state
from godwitvalve.parsing import overhead as overheads
from godwitvalve.platform import headers as wire

# Limits of the body of an answer other than 200. Endpoints send such answers
# at once, with bodies of a few hundred bytes.
MAX_ERROR_BODY_BYTES = 64 * 1024
ERROR_BODY_LIMIT_S = 1.0


class AttemptRunner:
    """Runs the attempts of one stream, one after the other.

    :ivar successor: attempt that the stream goes on with, from the end of
        the one before it.
    """

    def __init__(
        self,
        state: stream_state.StreamState,
        placement: stream_placement.StreamPlacement,
        records: stream_records.StreamRecords,
    ) -> None:
        self._state = state
        self._context = state.context
        self._routed = state.routed
        self._loop = state.loop
        self._placement = placement
        self._records = records
        self._silence = stream_silence.SilenceWatch(state, records)
        self.successor: attempts.StreamAttempt | None = None

    async def run_attempt(
        self, attempt: attempts.StreamAttempt
    ) -> attempts.AttemptEnd:
        """Run an attempt; return its end. Sets the attempt that follows."""
        self._state.relocation = relocations.Relocation(
            self._context.budget,
            self._routed.service,
            self._relocation_obstacle,
            lambda: self._placement.choose_successor(attempt),
            lambda successor: self._send_successor(attempt, successor),
            lambda successor, end: self._end_unused(attempt, successor, end),
        )
        try:
            end = await self._end_of(attempt)
            if not self.is_final(end):
                self.successor = self._state.relocation.take()
            return end
        finally:
            self._state.relocation.end()

    def is_final(self, end: attempts.AttemptEnd) -> bool:
        """Tell whether no attempt follows one that ended so."""
        match end:
            case attempts.Completed() | attempts.Quarantined():
                return True
            case attempts.Rejected(answer):
                return answer.head.status < 500 and not self._state.is_started
            case _:
                return False

    def _relocation_obstacle(self) -> replies.IncompleteReason | None:
        if self._state.time_to_admission_s() > 0:
            return replies.IncompleteReason.QUARANTINED
        return silence.obstacle(
            self._state.progress(self._state.possible_runs + 1)
        )

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
                self._state.possible_runs += may_have_run
            case attempts.Superseded(may_have_run):
                self._state.possible_runs += may_have_run
            case exchanges.Declined():
                attempt.ask_full_from_s = (
                    self._loop.time() + policy.FULL_STREAM_PAUSE_S
                )
            case _:
                pass
        self._records.record_end(successor, end)
        self._records.check_crash(successor, end)
        self._context.counters.count_retry(attempts.SILENT)

    def _send(self, attempt: attempts.StreamAttempt) -> attempts.Opening:
        """Begin to send an attempt."""
        self._state.tried_ids.add(attempt.endpoint.endpoint_id)
        self._state.times.endpoints.append(attempt.endpoint.endpoint_id)
        self._state.times.speeds.append(
            speed_meter.record_send(self._context, attempt.endpoint)
        )
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
            speed_meter.stated_pace(
                self._context, attempt.endpoint, self._loop.time
            ),
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
        self.successor = None
        service, account = self._routed.service, self._routed.account
        self._context.account_use.begin(service, account, True)
        try:
            self._context.sessions.begin(
                self._routed.request.facts.session,
                attempt.endpoint.endpoint_id,
            )
            self._state.pending.waits_for = (
                in_flight.Wait.EVENTS
                if self._state.is_started
                else in_flight.Wait.ANSWER
            )
            self._state.current_exchange = exchange
            return await self._relay(attempt, opening)
        except (channels.ConnectFailed, channels.ChannelBroken) as error:
            return attempts.interruption(error, exchange.is_sent)
        except stream_silence.PromptQuarantined:
            return attempts.Quarantined()
        finally:
            self._state.splitter.discard_partial()
            opening.close()
            self._context.account_use.end(service, account, True)

    async def _relay(
        self, attempt: attempts.StreamAttempt, opening: attempts.Opening
    ) -> attempts.AttemptEnd:
        exchange = opening.exchange
        head = await self._silence.await_responsive(attempt, opening.task)
        if head is None:
            return attempts.Interrupted(attempts.SILENT, True)
        now_s = self._loop.time()
        attempt.has_head = True
        self._silence.record_progress(attempt)
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
            chunk = await self._silence.await_responsive(
                attempt, asyncio.create_task(_next_chunk(chunks))
            )
            if chunk is None:
                return attempts.Interrupted(attempts.SILENT, True)
            if not chunk:
                break
            complete = self._state.splitter.feed(chunk)
            if complete.events:
                await self._forward_events(attempt, head, complete.events)
            if complete.damage:
                return attempts.Interrupted(
                    complete.damage, True, is_broken_off=True
                )
            if not complete.events and self._silence.may_leave(attempt):
                return attempts.Interrupted('no new event', True)
        if self._state.splitter.has_partial:
            return attempts.Interrupted(
                'ended inside an event', True, is_broken_off=True
            )
        if not self._state.is_started:
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
            self._state.splitter.last_event,
            attempt.backup.address if attempt.backup else '',
            attempt.memory_source,
        )

    async def _forward_events(
        self,
        attempt: attempts.StreamAttempt,
        head: exchanges.AnswerHead,
        complete: list[events.StreamEvent],
    ) -> None:
        """Pass on the events that a read completed."""
        attempt.speed_meter.record_events(len(complete), self._loop.time())
        if attempt.opening is not None:
            attempt.opening.exchange.pay(
                len(complete) * overheads.PARTS_PER_EVENT
            )
        assert self._state.relocation is not None
        # Before the caller is sent to, which may take long.
        self._state.relocation.record_event(self._loop.time())
        if not attempt.has_events:
            self._records.record_first_event(attempt)
        if not self._state.is_started:
            await self._start_answer(head)
        self._records.record_sent()
        await self._state.sink.send(
            b''.join(event.content for event in complete)
        )
        self._silence.record_progress(attempt)
        speed_meter.after_send(self._context, attempt)
        self._records.record_events(attempt, len(complete))

    async def _start_answer(self, head: exchanges.AnswerHead) -> None:
        self._state.is_started = True
        self._state.pending.has_begun = True
        self._state.pending.waits_for = in_flight.Wait.EVENTS
        await self._state.sink.start(head)
        self._context.counters.observe_first_event(
            self._routed.route.name, self._loop.time() - self._state.began_s
        )


async def _next_chunk(chunks: abc.AsyncIterator[bytes]) -> bytes:
    """Return the next bytes, or b'' at the end of the body."""
    async for chunk in chunks:
        if chunk:
            return chunk
    return b''
