"""Relays event streams and goes on at another endpoint after a loss."""

from __future__ import annotations

import asyncio
from collections import abc

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import calls
from godwitvalve.forwarding import channel as channels
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import events
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import gaps
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import probes
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import runs
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes
from godwitvalve.placement import book as books
from godwitvalve.placement import choose
from godwitvalve.placement import pace as pace_model
from godwitvalve.platform import headers as wire

# Shorter streams say little about the time from event to event.
MIN_PACED_EVENTS = 10

_LOG = logs.get('forwarding')


class StreamRun:
    """One stream from arrival to its end."""

    def __init__(
        self,
        context: contexts.ForwardingContext,
        order: calls.CallOrder,
        sink: runs.Sink,
    ) -> None:
        self._context = context
        self._order = order
        self._sink = sink
        self._loop = asyncio.get_running_loop()
        self._began_s = self._loop.time()
        self.times = runs.StreamTimes()
        self._splitter = events.EventSplitter(order.request.facts.last_event)
        self._gaps = gaps.GapWatch(order.route.max_gap_ms / 1000)
        self._tried: set[str] = set()
        # Decides for a version while the service moves to another one.
        self._draw = context.rng.random()
        self._current: exchanges.Exchange | None = None
        self._runs = 0
        self._is_started = False
        self._last_run: runs.Run | None = None
        self._rejection: exchanges.Answered | None = None

    async def run(self) -> replies.Reply:
        """Return the end of the stream; never later than its deadline."""
        reply: replies.Reply | None = None
        try:
            reply = await self._until_deadline()
            return reply
        finally:
            self._context.sessions.end(
                self._order.request.facts.session,
                reply == replies.Streamed(True),
                self._loop.time(),
            )

    async def _until_deadline(self) -> replies.Reply:
        try:
            async with asyncio.timeout_at(self._order.deadline_s):
                return await self._until_end()
        except asyncio.TimeoutError:
            if self._is_started:
                return replies.Streamed(False)
            if self._runs or (self._current and self._current.is_sent):
                return replies.Failure(codes.ResultCode.OUTCOME_UNKNOWN, True)
            return replies.Refusal(
                codes.ResultCode.OVERLOADED, policy.ABSENT_RETRY_AFTER_S
            )

    async def _until_end(self) -> replies.Reply:
        if not self._can_finish():
            return replies.Refusal(
                codes.ResultCode.DEADLINE_BEFORE_SEND,
                policy.FULL_RETRY_AFTER_S,
            )
        while True:
            if not await self._wait_for_room():
                return self._give_up(
                    codes.ResultCode.OVERLOADED, policy.FULL_RETRY_AFTER_S
                )
            run = self._next_run()
            if run is None:
                return self._give_up(
                    codes.ResultCode.NO_ENDPOINT, policy.ABSENT_RETRY_AFTER_S
                )
            end = await self._attempt(run)
            self._current = None
            self._note_end(run, end)
            match end:
                case runs.Whole():
                    return replies.Streamed(True)
                case runs.Rejected(answer):
                    if answer.head.status < 500 and not self._is_started:
                        return answer
                    self._runs += 1
                    self._rejection = answer
                case runs.Interrupted(_, may_have_run):
                    self._runs += may_have_run
                case exchanges.Declined():
                    pass
            if not self._may_go_on(end):
                return self._give_up(
                    codes.ResultCode.OVERLOADED, policy.BUSY_RETRY_AFTER_S
                )
            # What failed once is not tried on a version that is not proved.
            self._draw = 1.0
            self._context.counters.count_retry(runs.reason_of(end))

    def _can_finish(self) -> bool:
        facts = self._order.request.facts
        now_s = self._loop.time()
        is_read = self._context.sessions.find(facts.session, now_s)
        return self._context.pace.can_finish(
            self._order.service,
            0 if is_read else facts.prompt_tokens,
            facts.max_output_tokens,
            facts.last_event,
            (self._order.deadline_s - now_s) * 1000,
        )

    def _observe_pace(self, run: runs.Run) -> None:
        """Note the pace of a whole stream that one run read and gave."""
        facts = self._order.request.facts
        events_made = self._splitter.last_event
        if (
            run.memory_source
            or facts.last_event
            or events_made < MIN_PACED_EVENTS
            or not facts.prompt_tokens
            or not facts.max_output_tokens
        ):
            return
        read_s = run.first_event_s - run.began_s
        given_s = self._loop.time() - run.first_event_s
        self._context.pace.observe(
            self._order.service,
            pace_model.Pace(
                read_s * 1000 / facts.prompt_tokens,
                given_s * 1000 / (events_made - 1),
                events_made / facts.max_output_tokens,
            ),
        )

    def _may_go_on(self, end: runs.RunEnd) -> bool:
        left_s = self._order.deadline_s - self._loop.time()
        if left_s < policy.SHORTEST_SEND_S:
            return False
        if self._runs >= self._order.route.max_endpoints:
            return False
        if self._runs and not self._order.route.is_resumable:
            return False
        if isinstance(end, runs.Interrupted) and not end.may_have_run:
            # Nothing arrived, so nothing counts as a repeat.
            return True
        return self._context.budget.try_retry(self._order.service, True)

    def _listed(self) -> list[endpoints.FleetEndpoint]:
        return self._context.candidates(self._order.service, self._draw)

    async def _wait_for_room(self) -> bool:
        """Pause once every endpoint was tried; tell whether to go on.

        Load pattern: the endpoints that are left after a zone crashed have
        no memory for more streams until one of theirs ends. Asking all of
        them in a row only adds to the repeats that the budget allows.
        """
        listed = self._listed()
        if not listed or not all(
            each.endpoint_id in self._tried for each in listed
        ):
            return True
        if self._last_run is not None and self._last_run.backup is not None:
            return True
        now_s = self._loop.time()
        useful_until_s = self._order.deadline_s - policy.SHORTEST_STREAM_S
        if not self._is_started:
            objective_s = self._order.route.objective_ms / 1000
            useful_until_s = min(
                useful_until_s,
                self._began_s + objective_s - policy.SHORTEST_STREAM_S,
            )
        if now_s + policy.FULL_STREAM_PAUSE_S > useful_until_s:
            return False
        await asyncio.sleep(policy.FULL_STREAM_PAUSE_S)
        self._tried.clear()
        return True

    def _give_up(
        self, code: codes.ResultCode, retry_after_s: float
    ) -> replies.Reply:
        if self._is_started:
            return replies.Streamed(False)
        if self._rejection is not None:
            return self._rejection
        if self._runs:
            return replies.Failure(codes.ResultCode.OUTCOME_UNKNOWN)
        return replies.Refusal(code, retry_after_s)

    def _next_run(self) -> runs.Run | None:
        now_s = self._loop.time()
        copy = self._copy_run(now_s)
        if copy is not None:
            return copy
        context = self._context
        endpoint = choose.choose_stream(
            self._listed(),
            context.book,
            context.elsewhere(),
            self._tried,
            context.failure_domain,
            now_s,
            context.rng,
            context.sessions.find(self._order.request.facts.session, now_s),
        )
        if endpoint is None:
            return None
        return runs.Run(endpoint, self._backup_for(endpoint, now_s), '', now_s)

    def _copy_run(self, now_s: float) -> runs.Run | None:
        """Return a run at the endpoint that keeps a copy of the last one."""
        last = self._last_run
        if last is None or last.backup is None:
            return None
        self._last_run = None
        listed = self._context.state.registry.get(last.backup.endpoint_id)
        if listed is None or not self._context.rollouts.allows(listed):
            return None
        request_id = self._order.request.facts.request_id
        return runs.Run(
            listed,
            self._backup_for(listed, now_s),
            f'{listed.address}/{request_id}',
            now_s,
        )

    def _backup_for(
        self, endpoint: endpoints.FleetEndpoint, now_s: float
    ) -> endpoints.FleetEndpoint | None:
        context = self._context
        configuration = context.state.configuration
        service = (
            configuration.services.get(self._order.service)
            if configuration
            else None
        )
        if (
            service is None
            or service.engine is None
            or not service.engine.has_backups
            or not self._order.route.is_resumable
        ):
            return None
        return choose.choose_backup(
            self._listed(),
            endpoint,
            context.book,
            context.elsewhere(),
            now_s,
            context.rng,
        )

    async def _attempt(self, run: runs.Run) -> runs.RunEnd:
        self._tried.add(run.endpoint.endpoint_id)
        self.times.endpoints.append(run.endpoint.endpoint_id)
        self._context.sessions.begin(
            self._order.request.facts.session, run.endpoint.endpoint_id
        )
        exchange = exchanges.Exchange(run.endpoint, self._context.pool)
        run.trial = self._context.rollouts.begin(
            run.endpoint,
            self._order.route,
            self._loop.call_later,
            self._loop.time(),
        )
        with runs.PlacedRun(self._context, run):
            try:
                self._current = exchange
                return await self._relay(run, exchange)
            except channels.ConnectFailed as error:
                return runs.Interrupted(str(error), False)
            except channels.ChannelBroken as error:
                return runs.Interrupted(error.reason, exchange.is_sent)
            except events.StreamDamaged as error:
                return runs.Interrupted(str(error), True)
            finally:
                run.last_heard_s = exchange.last_bytes_s
                exchange.abandon()
                self._splitter.discard_partial()
                if run.trial:
                    run.trial.close()

    async def _relay(
        self, run: runs.Run, exchange: exchanges.Exchange
    ) -> runs.RunEnd:
        head = await self._watched(
            run, asyncio.create_task(exchange.open(*self._sending(run)))
        )
        if head is None:
            return runs.Interrupted('silent', True)
        now_s = self._loop.time()
        self._context.book.reported(
            run.endpoint.endpoint_id, head.facts.load, now_s
        )
        if head.facts.is_not_run:
            return exchanges.Declined(head.status, head.facts.load)
        if head.facts.is_encoded:
            return runs.Interrupted('encoded answer', True)
        if head.status != 200:
            body = b''.join([chunk async for chunk in exchange.chunks()])
            if run.trial:
                run.trial.answered(head.status >= 500)
            return runs.Rejected(exchanges.Answered(head, body))
        chunks = exchange.chunks()
        while True:
            chunk = await self._watched(
                run, asyncio.create_task(_next_chunk(chunks))
            )
            if chunk is None:
                return runs.Interrupted('silent', True)
            if not chunk:
                break
            await self._pass_on(run, head, chunk)
        if self._splitter.has_partial:
            return runs.Interrupted('ended inside an event', True)
        if not self._is_started:
            await self._start(head)
        return runs.Whole()

    def _sending(
        self, run: runs.Run
    ) -> tuple[exchanges.CallerRequest, wire.SendFacts]:
        order = self._order
        return order.request, wire.SendFacts(
            run.endpoint.endpoint_id,
            (order.deadline_s - self._loop.time()) * 1000,
            order.account,
            order.urgency,
            self._splitter.last_event,
            run.backup.address if run.backup else '',
            run.memory_source,
        )

    async def _watched(
        self, run: runs.Run, task: asyncio.Task[gaps.Awaited]
    ) -> gaps.Awaited | None:
        """Wait for a task; None if the endpoint is silent for too long."""
        since_s = self._loop.time()
        try:
            while True:
                await asyncio.wait({task}, timeout=gaps.POLL_S)
                if task.done():
                    return task.result()
                if self._is_silent(run, since_s):
                    return None
                if self._is_check_due(run, since_s) and not (
                    await probes.accepts_connections(run.endpoint.address)
                ):
                    if not task.done() and self._can_move(run):
                        return None
        finally:
            if not task.done():
                task.cancel()

    def _is_silent(self, run: runs.Run, since_s: float) -> bool:
        now_s = self._loop.time()
        notes = self._context.book.notes(run.endpoint.endpoint_id)
        is_known_lost = max(
            notes.silent_since_s, notes.heard_lost_s - books.LOSS_NEWS_S
        ) > since_s or self._context.state.registry.is_replaced(
            run.endpoint.endpoint_id
        )
        return self._gaps.is_silent(
            now_s - since_s, run.has_events, is_known_lost
        ) and self._can_move(run)

    def _is_check_due(self, run: runs.Run, since_s: float) -> bool:
        now_s = self._loop.time()
        is_due = self._gaps.is_check_due(
            now_s - max(since_s, run.checked_s), run.has_events
        )
        if is_due:
            run.checked_s = now_s
        return is_due

    def _can_move(self, run: runs.Run) -> bool:
        """Tell whether a silent run may go on elsewhere; note it if so."""
        route = self._order.route
        if not route.is_resumable or self._runs + 1 >= route.max_endpoints:
            return False
        self._context.book.was_lost(
            run.endpoint.endpoint_id, self._loop.time()
        )
        self._context.placed()
        return True

    async def _pass_on(
        self, run: runs.Run, head: exchanges.AnswerHead, chunk: bytes
    ) -> None:
        whole = self._splitter.feed(chunk)
        if not whole:
            return
        if not run.has_events:
            self._note_first_event(run)
        if not self._is_started:
            await self._start(head)
        self._note_sent()
        await self._sink.send(b''.join(event.content for event in whole))

    def _note_sent(self) -> None:
        now_s = self._loop.time()
        times = self.times
        if times.last_sent_s:
            gap_s = now_s - times.last_sent_s
            times.longest_gap_s = max(times.longest_gap_s, gap_s)
        else:
            times.first_event_s = now_s - self._began_s
        times.last_sent_s = now_s

    async def _start(self, head: exchanges.AnswerHead) -> None:
        self._is_started = True
        await self._sink.start(head)
        self._context.counters.observe_first_event(
            self._order.route.name, self._loop.time() - self._began_s
        )

    def _note_first_event(self, run: runs.Run) -> None:
        run.has_events = True
        if run.trial:
            run.trial.answered(False)
        run.first_event_s = self._loop.time()
        self._context.book.notes(run.endpoint.endpoint_id).starting -= 1
        self._context.book.succeeded(
            run.endpoint.endpoint_id, None, self._loop.time()
        )
        self._context.placed()

    def _note_interruption(self, run: runs.Run, end: runs.Interrupted) -> None:
        """Take a refused connection as a loss of the endpoint.

        A single broken stream may be a fault of that stream alone.
        """
        book = self._context.book
        now_s = self._loop.time()
        if end.may_have_run:
            book.failed(run.endpoint.endpoint_id, now_s)
        else:
            book.was_lost(run.endpoint.endpoint_id, now_s)
            self._context.placed()

    def _note_end(self, run: runs.Run, end: runs.RunEnd) -> None:
        self._last_run = None
        match end:
            case runs.Whole():
                self._observe_pace(run)
                return
            case runs.Interrupted():
                # Before its first event a run has nothing to copy.
                self._last_run = run if run.has_events else None
                self._note_interruption(run, end)
                if run.has_events:
                    self._context.lost(run.endpoint, run.last_heard_s)
            case exchanges.Declined(wire.MISDIRECTED):
                self._context.note_replaced(run.endpoint)
            case _:
                pass
        _LOG.info(
            'A run of a stream ended early.',
            extra={
                'request_id': self._order.request.facts.request_id,
                'endpoint_id': run.endpoint.endpoint_id,
                'outcome': type(end).__name__,
                'reason': runs.reason_of(end),
                'last_event': self._splitter.last_event,
                'memory_source': run.memory_source,
                'run_s': round(self._loop.time() - run.began_s, 3),
            },
        )


async def _next_chunk(chunks: abc.AsyncIterator[bytes]) -> bytes:
    """Return the next bytes, or none at the end of the body."""
    async for chunk in chunks:
        if chunk:
            return chunk
    return b''
