"""Lets a stream wait for room at the endpoints of its service."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from godwitvalve.admission import decision
from godwitvalve.admission import room
from godwitvalve.admission import stream_queue
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import routes
from godwitvalve.forwarding import replies
from godwitvalve.forwarding import stream_state
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes
from godwitvalve.placement import choose
from godwitvalve.placement import prompt_times

_LOG = logs.get('forwarding')


class Assessment(NamedTuple):
    """Whether a new stream has room, and where.

    :param rooms: empty if the stream is sent without looking for room.
    :param bound_s: objective that the room is measured by, in seconds.
    :param rate_per_s: streams a second that all entries may send.
    :param others_waiting: streams that wait at other entries.
    """

    decision: decision.Decision
    rooms: tuple[room.EndpointRoom, ...] = ()
    bound_s: float = 0.0
    rate_per_s: float = 0.0
    others_waiting: int = 0


class StreamTurn:
    """Admission of one stream; ``end`` must be called once.

    :ivar endpoint_ids: endpoints with room for the first attempt; empty if
        any will do.
    """

    def __init__(self, state: stream_state.StreamState) -> None:
        self._state = state
        self._context = state.context
        self._routed = state.routed
        self._service = state.routed.service
        self._tables = state.context.admission
        self._queue = self._tables.queue(self._service)
        self._account = state.routed.account
        self._is_counted = False
        # Whether this entry refused the stream before.
        self._is_returned = False
        self._priority = (
            state.routed.route.priority
            if state.routed.urgency is None
            else state.routed.urgency
        )
        self.endpoint_ids: frozenset[str] = frozenset()

    @property
    def _engine(self) -> routes.EngineConfig | None:
        """Return the engines' capacity if streams are admitted by it."""
        engine = self._context.engine(self._service)
        if (
            engine is None
            or not engine.slots
            or not engine.kv_capacity_tokens
            # Without it, an output would be expected to take many times as
            # long, and all streams refused at their deadlines.
            or not engine.stride
            or not self._context.paces.is_stated(self._service)
        ):
            return None
        return engine

    @property
    def _is_resumed(self) -> bool:
        return bool(
            self._state.is_started
            or self._state.possible_runs
            or self._routed.request.facts.last_event
        )

    def tokens(self, has_copy: bool) -> tuple[int, int]:
        """Return the tokens that an attempt holds and has to read.

        :param has_copy: whether it goes on from a copy.
        """
        engine = self._engine
        if engine is None:
            return 0, 0
        facts = self._routed.request.facts
        read = facts.prompt_tokens + (
            self._state.splitter.last_event * (engine.stride or 1)
        )
        held = facts.prompt_tokens + self._output_tokens()
        return max(held, read), 0 if has_copy else read

    @property
    def _caller_key(self) -> tuple[str, str]:
        """Return what stays the same when a refused caller comes back.

        Each attempt of a caller has a request id of its own.
        """
        facts = self._routed.request.facts
        return self._account, facts.session or facts.request_id

    def _output_tokens(self) -> int:
        facts = self._routed.request.facts
        return self._tables.lengths.expected(
            self._service, facts.length_hint, facts.max_output_tokens
        )

    async def begin(self) -> replies.Refusal | None:
        """Wait until the stream may be sent; return a refusal if it may not.

        Streams that resume, and those whose size or speed is not known, are
        sent at once.
        """
        self.endpoint_ids = frozenset()
        if not self._is_counted and self._tables.take_returned(
            self._caller_key
        ):
            self._is_returned = True
            self._context.counters.count_return(self._service)
        began_s = self._state.loop.time()
        try:
            refusal = await self._wait()
        finally:
            self._queue.remove(self)
            self._set_gauges(0.0)
            now_s = self._state.loop.time()
            self._state.times.admission_wait_s += now_s - began_s
        if refusal is None and not self._is_counted:
            self._is_counted = True
            self._queue.begin(self._account)
        return refusal

    async def _wait(self) -> replies.Refusal | None:
        is_queued = False
        while True:
            assessment = self.assess()
            match assessment.decision:
                case decision.Send(endpoint_ids):
                    self.endpoint_ids = (
                        endpoint_ids
                        if self._is_contended(assessment.others_waiting)
                        else frozenset(
                            decision.reachable_ids(
                                assessment.bound_s, assessment.rooms
                            )
                        )
                    )
                    if not self._is_resumed:
                        self._record_outcome(True)
                    return None
                case decision.Refuse(decision.Reason.DEADLINE) if (
                    self._state.begin_trial()
                ):
                    return None
                case decision.Refuse() as refused:
                    self._mark_full()
                    self._record_outcome(False)
                    return self._refusal(refused, assessment.rate_per_s)
                case decision.Wait(expected_s):
                    if not is_queued:
                        self._queue.add(self._waiting())
                        self._context.on_placement_changed()
                    is_queued = True
                    self._mark_full()
                    self._set_gauges(expected_s)
                    spread = self._context.rng.uniform(0.5, 1.5)
                    await asyncio.sleep(decision.POLL_S * spread)

    def _is_contended(self, others_waiting: int) -> bool:
        """Tell whether streams wait or were refused a moment ago.

        Entries that send at the same moment meet at the best endpoint, so
        that few are offered then. Otherwise the quick ones of all are used.
        """
        return others_waiting > 0 or self._context.account_use.is_full(
            self._service, self._state.loop.time()
        )

    def _mark_full(self) -> None:
        """Let other entries know the use of the service by accounts."""
        self._context.account_use.mark_full(
            self._service, self._state.loop.time()
        )

    def assess(self) -> Assessment:
        """Return whether the stream has room now.

        Records the kind of the stream in the queue.
        """
        engine = self._engine
        route = self._routed.route
        facts = self._routed.request.facts
        estimate = self._context.speeds.all().get(self._service)
        if (
            engine is None
            or estimate is None
            or self._is_resumed
            or not facts.prompt_tokens
            or route.objective_ms <= 0
        ):
            return Assessment(decision.Send())
        now_s = self._state.loop.time()
        output_tokens = self._output_tokens()
        speed = room.Speed(
            prompt_times.token_ms(estimate.prompts, facts.prompt_tokens),
            max(estimate.event_ms, 0.0)
            * output_tokens
            / (engine.stride or 1)
            / 1000,
        )
        rooms = self._rooms(engine, speed, now_s)
        objective_s = route.objective_ms / 1000
        request = decision.Request(
            objective_s,
            self._queue.bound_s(
                self._account, self._priority, objective_s, now_s
            ),
            now_s - self._state.began_s,
            self._routed.deadline_s - now_s,
            speed.output_s,
        )
        others = self._tables.others().waiting.get(self._service, 0)
        rate_per_s = room.service_rate(rooms)
        waiting = self._waiting()
        decided = decision.decide(
            request,
            rooms,
            self._queue.ahead_of(waiting, now_s),
            self._queue.contenders(waiting, others, now_s),
            rate_per_s,
            self._context.rng,
            self._context.sessions.find(facts.session, now_s),
        )
        return Assessment(
            decided, tuple(rooms), request.bound_s, rate_per_s, others
        )

    def _rooms(
        self, engine: routes.EngineConfig, speed: room.Speed, now_s: float
    ) -> list[room.EndpointRoom]:
        assert engine.slots and engine.kv_capacity_tokens
        capacity = room.Capacity(engine.slots, engine.kv_capacity_tokens)
        held_tokens, unread_tokens = self.tokens(False)
        demand = room.Demand(unread_tokens, held_tokens)
        remote = self._tables.placements(
            now_s, self._context.remote_placements
        )
        usable = self._context.without_exhausted(self._state.candidates())
        # A lost endpoint looks empty, as the streams there have ended.
        return [
            self._room(each, capacity, demand, speed, remote, now_s)
            for each in usable
            if not self._is_avoided(each.endpoint_id, now_s)
        ]

    def _is_avoided(self, endpoint_id: str, now_s: float) -> bool:
        stats = self._context.endpoint_tracker.stats(endpoint_id)
        return max(stats.ejected_until_s, stats.down_until_s) > now_s

    def _room(
        self,
        endpoint: endpoints.FleetEndpoint,
        capacity: room.Capacity,
        demand: room.Demand,
        speed: room.Speed,
        remote: choose.RemotePlacements,
        now_s: float,
    ) -> room.EndpointRoom:
        stats = self._context.endpoint_tracker.stats(endpoint.endpoint_id)
        others = remote.get(endpoint.endpoint_id, choose.Placements())
        found = room.endpoint_room(
            endpoint.endpoint_id,
            capacity,
            room.Use(
                stats.streams + others.streams,
                stats.held_tokens + others.held_tokens,
                stats.unread_tokens + others.unread_tokens,
            ),
            demand,
            speed,
            self._tables.work_factor(endpoint, now_s),
        )
        if stats.full_until_s > now_s:
            return found._replace(has_space=False)
        return found

    def _waiting(self) -> stream_queue.Waiting[object]:
        return stream_queue.Waiting(
            self,
            self._account,
            self._priority,
            self._state.began_s + self._routed.route.objective_ms / 1000,
            self._is_returned,
        )

    def retry_after_s(
        self, refused: decision.Refuse, rate_per_s: float
    ) -> float:
        """Return the seconds that a refused caller is told; takes its place.

        :param rate_per_s: streams a second that all entries may send.
        """
        now_s = self._state.loop.time()
        return self._tables.returns(self._service).retry_after_s(
            now_s,
            refused.free_in_s,
            rate_per_s / self._tables.others().entries,
            self._routed.deadline_s - now_s,
        )

    def _refusal(
        self, refused: decision.Refuse, rate_per_s: float
    ) -> replies.Refusal:
        request_id = self._routed.request.facts.request_id
        retry_after_s = self.retry_after_s(refused, rate_per_s)
        self._tables.record_refused(self._caller_key)
        self._context.counters.count_stream_refusal(
            self._service, refused.reason.value
        )
        _LOG.info(
            'No room for a stream in time.',
            extra={
                'request_id': request_id,
                'service': self._service,
                'reason': refused.reason.value,
                'free_in_s': round(refused.free_in_s, 3),
                'retry_after_s': round(retry_after_s, 3),
                'waiting': len(self._queue),
            },
        )
        return replies.Refusal(
            codes.ResultCode.OVERLOADED, retry_after_s, is_scheduled=True
        )

    def _record_outcome(self, is_sent: bool) -> None:
        if self._engine is not None and not self._is_counted:
            self._queue.record_outcome(
                self._account, is_sent, self._state.loop.time()
            )

    def _set_gauges(self, wait_s: float) -> None:
        if self._engine is not None:
            self._context.counters.set_waiting(
                self._service, len(self._queue), wait_s
            )

    async def pause(self, pause_s: float, is_for_room: bool) -> None:
        """Pause before another attempt; new streams wait for one that resumes.

        :param pause_s: seconds.
        :param is_for_room: False for one that waits for the retry budget:
            room that is kept for it meanwhile would be idle.
        """
        if not (is_for_room and self._is_resumed):
            await asyncio.sleep(pause_s)
            return
        self._queue.begin_resume()
        try:
            await asyncio.sleep(pause_s)
        finally:
            self._queue.end_resume()

    def complete(self) -> None:
        """Record the output of a stream that reached its end."""
        engine = self._engine
        facts = self._routed.request.facts
        if engine is not None and not facts.last_event:
            self._tables.lengths.observe(
                self._service,
                facts.length_hint or facts.max_output_tokens,
                self._state.splitter.last_event * (engine.stride or 1),
            )

    def end(self) -> None:
        """Record that the stream ended."""
        if self._is_counted:
            self._queue.end(self._account)
