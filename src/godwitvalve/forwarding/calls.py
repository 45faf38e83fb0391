"""Forwards plain calls with retries and hedged attempts."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import routes
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import in_flight
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import speed_meter
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes
from godwitvalve.placement import choose
from godwitvalve.platform import headers as wire
from godwitvalve.queueing import turns

# Share of the latency objective after which a repeatable call is also sent
# to a second endpoint. Calls take 45 ms, so the second one is still in time.
HEDGE_DELAY_SHARE = 0.5
# Minimum delay of a hedged attempt, about the 95th percentile of calls.
MIN_HEDGE_DELAY_S = 0.08

_LOG = logs.get('forwarding')


class RoutedRequest(NamedTuple):
    """A request with its route, service and limits.

    :param account: name of the client account, or empty.
    :param urgency: priority of a stream; None for a call.
    :param deadline_s: seconds of the event loop's clock.
    """

    request: exchanges.CallerRequest
    route: routes.Route
    service: str
    account: str
    urgency: int | None
    deadline_s: float


def turn_refusal(
    context: contexts.ForwardingContext,
    routed: RoutedRequest,
    free_in_s: float,
) -> replies.Refusal:
    """Return the refusal of a call that gets no turn.

    Where many entries share the endpoints, callers that are told the same
    time come back together.

    :param free_in_s: expected seconds until its turn.
    """
    service = routed.service
    if not context.paces.is_stated(service):
        return replies.Refusal(codes.ResultCode.OVERLOADED, free_in_s)
    now_s = asyncio.get_running_loop().time()
    retry_after_s = context.admission.returns(service).retry_after_s(
        now_s,
        free_in_s,
        context.turns.at(service).rate_per_s(),
        routed.deadline_s - now_s,
    )
    return replies.Refusal(
        codes.ResultCode.OVERLOADED, retry_after_s, is_scheduled=True
    )


class CallForwarder:
    """Forwards one plain call and retries it within its limits."""

    def __init__(
        self,
        context: contexts.ForwardingContext,
        routed: RoutedRequest,
        pending: in_flight.RequestInFlight | None = None,
    ) -> None:
        self._context = context
        self._routed = routed
        self._pending = pending or in_flight.RequestInFlight()
        self._loop = asyncio.get_running_loop()
        self.endpoints: list[str] = []
        # Selects the version during a roll-out.
        self._draw = context.rng.random()
        self._may_confirm = context.limiter.may_confirm()
        self._tried_ids: set[str] = set()
        self._attempts = 0
        self._possible_runs = 0
        self._fallback: exchanges.Answered | None = None
        self._running: set[asyncio.Task[exchanges.PlainOutcome]] = set()
        # Exchanges whose outcome was not returned.
        self._unsettled: set[exchanges.Exchange] = set()

    @property
    def _is_repeatable(self) -> bool:
        return self._routed.route.kind is routes.RequestKind.REPEATABLE

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have run the call."""
        return bool(
            self._possible_runs
            or self._running
            or any(each.is_sent for each in self._unsettled)
        )

    async def run(self) -> replies.Reply:
        """Return the result of the call, at the latest at its deadline."""
        self._pending.waits_for = in_flight.Wait.TURN
        try:
            async with self._pending.limit(self._routed.deadline_s):
                return await self._forward()
        except asyncio.TimeoutError:
            return self._at_deadline()
        finally:
            for task in self._running:
                task.cancel()

    def _at_deadline(self) -> replies.Reply:
        # Attempts that ended in the turn in which the deadline was noticed.
        for task in [each for each in self._running if each.done()]:
            self._running.discard(task)
            outcome = task.result()
            self._count(outcome)
            if isinstance(outcome, exchanges.Answered):
                return outcome
        if self._fallback is not None:
            return self._fallback
        if self.may_have_run:
            return replies.Failure(codes.ResultCode.OUTCOME_UNKNOWN, True)
        return replies.Refusal(
            codes.ResultCode.OVERLOADED, policy.BUSY_RETRY_AFTER_S
        )

    async def _forward(self) -> replies.Reply:
        try:
            turn = await self._context.turns.at(self._routed.service).begin(
                self._routed.account,
                self._routed.route.priority,
                self._routed.deadline_s - policy.MIN_ATTEMPT_S,
            )
        except turns.TurnRefused as refused:
            return turn_refusal(
                self._context, self._routed, refused.retry_after_s
            )
        try:
            return await self._forward_in_turn(turn)
        finally:
            turn.end(was_sent=bool(self.endpoints))

    async def _forward_in_turn(self, turn: turns.Turn) -> replies.Reply:
        if not await self._start_first():
            return self._context.refusal(
                self._routed.service, self._candidates()
            )
        while True:
            outcome = await self._next_outcome()
            if outcome is None:
                await self._hedge()
                continue
            step = policy.after_attempt(outcome, self._progress())
            match step:
                case policy.End(reply):
                    if self._running and not _is_success(reply):
                        continue
                    return reply
                case policy.Retry(reason):
                    if self._running:
                        continue
                    final_reply = await self._retry(reason, turn)
                    if final_reply is not None:
                        return final_reply

    async def _start_first(self) -> bool:
        if await self._start():
            return True
        if self._context.has_exhausted(self._candidates()):
            # The old version may have endpoints without a limit.
            self._draw = 1.0
            return await self._start()
        return False

    def _candidates(self) -> list[endpoints.FleetEndpoint]:
        return self._context.candidates(self._routed.service, self._draw)

    async def _retry(
        self, reason: str, turn: turns.Turn
    ) -> replies.Reply | None:
        # Retries use the old version; the new one is not proven yet.
        self._draw = 1.0
        candidates = self._candidates()
        open_candidates = self._context.without_exhausted(candidates)
        if (open_candidates or not candidates) and all(
            each.endpoint_id in self._tried_ids for each in open_candidates
        ):
            self._tried_ids.clear()
            if reason == policy.DECLINED:
                self._pending.waits_for = in_flight.Wait.TURN
                try:
                    await turn.wait_again()
                except turns.TurnRefused as refused:
                    reply = policy.give_up(
                        self._progress(),
                        codes.ResultCode.OVERLOADED,
                        refused.retry_after_s,
                    ).reply
                    if isinstance(reply, replies.Refusal):
                        return turn_refusal(
                            self._context, self._routed, refused.retry_after_s
                        )
                    return reply
            else:
                self._pending.waits_for = in_flight.Wait.ENDPOINT
                await asyncio.sleep(policy.FULL_CALL_PAUSE_S)
        if await self._start():
            self._context.budget.try_retry(self._routed.service)
            self._record_retry(reason)
            return None
        refusal = self._context.refusal(
            self._routed.service, self._candidates()
        )
        return policy.give_up(
            self._progress(), refusal.code, refusal.retry_after_s
        ).reply

    def _record_retry(self, reason: str) -> None:
        self._context.counters.count_retry(reason)
        _LOG.info(
            'Sending a call again.',
            extra={
                'request_id': self._routed.request.facts.request_id,
                'reason': reason,
                'sends': self._attempts,
            },
        )

    def _progress(self) -> policy.Progress:
        remaining_s = self._routed.deadline_s - self._loop.time()
        return policy.Progress(
            self._is_repeatable,
            self._attempts,
            self._possible_runs,
            self._routed.route.max_endpoints,
            remaining_s > policy.MIN_ATTEMPT_S,
            self._context.budget.balance(self._routed.service) >= 1.0,
            self._fallback,
        )

    async def _next_outcome(self) -> exchanges.PlainOutcome | None:
        """Wait for the end of an attempt; None if it is time to hedge."""
        can_hedge = (
            self._is_repeatable
            and len(self._running) == 1
            and self._possible_runs + 1 < self._routed.route.max_endpoints
        )
        wait_s = None
        if can_hedge:
            objective_s = self._routed.route.objective_ms / 1000
            wait_s = max(objective_s * HEDGE_DELAY_SHARE, MIN_HEDGE_DELAY_S)
        done, _ = await asyncio.wait(
            self._running,
            timeout=wait_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            return None
        task = done.pop()
        self._running.discard(task)
        outcome = task.result()
        self._count(outcome)
        return outcome

    def _count(self, outcome: exchanges.PlainOutcome) -> None:
        self._attempts += 1
        match outcome:
            case exchanges.Lost():
                self._possible_runs += 1
            case exchanges.Answered(head):
                self._possible_runs += 1
                if head.status >= 500 and self._fallback is None:
                    self._fallback = outcome

    async def _hedge(self) -> None:
        if not self._context.budget.try_retry(self._routed.service):
            return
        if await self._start():
            self._record_retry('no answer yet')
        else:
            self._context.budget.return_retry(self._routed.service)

    async def _start(self) -> bool:
        """Start an attempt; tell whether an endpoint was available."""
        context = self._context
        if not self._running:
            self._pending.waits_for = in_flight.Wait.ENDPOINT
        endpoint = await context.select(
            self._candidates,
            lambda candidates, limits: choose.choose_call(
                candidates,
                context.endpoint_tracker,
                self._tried_ids,
                context.failure_domain,
                self._loop.time(),
                context.rng,
                limits,
                context.work_factors.at(
                    self._routed.service, self._loop.time()
                ),
            ),
            self._may_confirm and not self._tried_ids,
        )
        if endpoint is None:
            return False
        self._tried_ids.add(endpoint.endpoint_id)
        self.endpoints.append(endpoint.endpoint_id)
        self._running.add(asyncio.create_task(self._send(endpoint)))
        self._pending.waits_for = in_flight.Wait.ANSWER
        return True

    async def _send(
        self, endpoint: endpoints.FleetEndpoint
    ) -> exchanges.PlainOutcome:
        routed = self._routed
        stats = self._context.endpoint_tracker.stats(endpoint.endpoint_id)
        facts = wire.SendFacts(
            endpoint.endpoint_id,
            (routed.deadline_s - self._loop.time()) * 1000,
            routed.account,
            routed.urgency,
        )
        self._context.record_send(endpoint, routed.request.facts.request_id)
        exchange = exchanges.Exchange(
            endpoint, self._context.pool, self._context.record_head
        )
        self._unsettled.add(exchange)
        observation = self._context.rollouts.observe(
            endpoint,
            routed.route,
            self._loop.call_later,
            self._loop.time(),
            speed_meter.stated_pace(self._context, endpoint, self._loop.time),
        )
        began_s = self._loop.time()
        stats.calls += 1
        try:
            outcome = await exchanges.send_plain(
                exchange, routed.request, facts
            )
            if isinstance(outcome, exchanges.Answered):
                observation.record_answer(outcome.head.status >= 500)
        except asyncio.CancelledError:
            self._record_stall(endpoint, exchange.is_sent, began_s)
            raise
        finally:
            stats.calls -= 1
            observation.close()
        self._record_outcome(endpoint, outcome)
        self._unsettled.discard(exchange)
        return outcome

    def _record_stall(
        self,
        endpoint: endpoints.FleetEndpoint,
        is_sent: bool,
        began_s: float,
    ) -> None:
        """Record a failure if the call ends after its objective."""
        now_s = self._loop.time()
        held_s = now_s - began_s
        if not is_sent or held_s <= self._routed.route.objective_ms / 1000:
            return
        self._context.endpoint_tracker.record_failure(
            endpoint.endpoint_id, now_s
        )
        _LOG.info(
            'Endpoint held a request until it ended.',
            extra={
                'request_id': self._routed.request.facts.request_id,
                'endpoint_id': endpoint.endpoint_id,
                'idle_s': round(held_s, 3),
            },
        )

    def _record_outcome(
        self,
        endpoint: endpoints.FleetEndpoint,
        outcome: exchanges.PlainOutcome,
    ) -> None:
        tracker = self._context.endpoint_tracker
        now_s = self._loop.time()
        match outcome:
            case exchanges.Answered(head) if head.status < 500:
                tracker.record_success(
                    endpoint.endpoint_id, head.facts.load, now_s
                )
                return
            case exchanges.Answered(head):
                # One failed answer in seven is normal, so it is no symptom
                # of a faulty endpoint.
                tracker.record_load(
                    endpoint.endpoint_id, head.facts.load, now_s
                )
            case exchanges.Declined(status, load):
                tracker.record_load(endpoint.endpoint_id, load, now_s)
                if status == wire.MISDIRECTED:
                    self._context.mark_replaced(endpoint)
            case exchanges.NotSent():
                tracker.record_loss(endpoint.endpoint_id, now_s)
            case exchanges.Lost(reason):
                self._context.counters.count_lost(reason)
                tracker.record_failure(endpoint.endpoint_id, now_s)
        _LOG.info(
            'Call attempt failed.',
            extra={
                'request_id': self._routed.request.facts.request_id,
                'endpoint_id': endpoint.endpoint_id,
                'outcome': type(outcome).__name__,
                'reason': getattr(outcome, 'reason', '')
                or getattr(outcome, 'status', ''),
                'listed_endpoints': len(self._candidates()),
            },
        )


def _is_success(reply: replies.Reply) -> bool:
    return isinstance(reply, exchanges.Answered) and reply.head.status < 500
