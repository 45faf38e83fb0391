"""Chooses the endpoints of the attempts of a stream."""

from __future__ import annotations

from collections import abc

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import silence
from godwitvalve.forwarding import stream_state
from godwitvalve.forwarding import stream_turns
from godwitvalve.placement import choose


class StreamPlacement:
    """Chooses the endpoint and the backup of each attempt of one stream."""

    def __init__(
        self,
        state: stream_state.StreamState,
        turn: stream_turns.StreamTurn,
    ) -> None:
        self._turn = turn
        self._state = state
        self._context = state.context
        self._routed = state.routed
        self._loop = state.loop
        self._may_confirm = state.context.limiter.may_confirm()

    async def choose_successor(
        self, attempt: attempts.StreamAttempt
    ) -> attempts.StreamAttempt | None:
        """Return an attempt at an endpoint that has room and a permit."""

        def candidates() -> list[endpoints.FleetEndpoint]:
            # Retries use the old version; the new one is not proven yet.
            return silence.successors(
                self._context.candidates(self._routed.service, 1.0),
                attempt.endpoint.endpoint_id,
                self._context.endpoint_tracker,
                self._context.placements_for(
                    self._routed.service, self._loop.time()
                ),
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
                each.endpoint_id in self._state.tried_ids
                for each in self._context.without_exhausted(candidates())
            )
            endpoint = await self._select(
                candidates,
                set() if are_tried else self._state.tried_ids,
                False,
            )
            if endpoint is not None:
                now_s = self._loop.time()
                successor = self._attempt(endpoint, now_s)
        if successor is None or not self._state.is_admitted():
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
                context.placements_for(
                    self._routed.service, self._loop.time()
                ),
                tried_ids,
                context.failure_domain,
                self._loop.time(),
                context.rng,
                context.sessions.find(session, self._loop.time()),
                limits,
                context.work_factors.at(
                    self._routed.service, self._loop.time()
                ),
                self._state.prompt.savings(),
            ),
            may_confirm,
        )

    async def next_attempt(self) -> attempts.StreamAttempt | None:
        """Return the next attempt; None if no endpoint may take it."""
        resumed = await self._attempt_at_backup()
        if resumed is not None:
            return resumed
        endpoint = await self._select(
            self._with_room,
            self._state.tried_ids,
            self._may_confirm and not self._state.times.endpoints,
        )
        if endpoint is None:
            return None
        now_s = self._loop.time()
        return self._attempt(endpoint, now_s)

    def _with_room(self) -> list[endpoints.FleetEndpoint]:
        """Return the candidates that admission found; all if none is left."""
        candidates = self._state.candidates()
        return [
            each
            for each in candidates
            if each.endpoint_id in self._turn.endpoint_ids
            and each.endpoint_id not in self._state.tried_ids
        ] or candidates

    def _attempt(
        self,
        endpoint: endpoints.FleetEndpoint,
        now_s: float,
        memory_source: str = '',
    ) -> attempts.StreamAttempt:
        held, unread = self._turn.tokens(bool(memory_source))
        return attempts.StreamAttempt(
            endpoint,
            self._backup_for(endpoint, now_s),
            memory_source,
            now_s,
            held_tokens=held,
            unread_tokens=unread,
        )

    def usable_backup(self) -> endpoints.FleetEndpoint | None:
        """Return the backup of the last attempt unless it is leaving.

        It was chosen when that attempt began, seconds ago.
        """
        last = self._state.last_attempt
        if last is None or last.is_backup_used or last.backup is None:
            return None
        return last.backup if self._context.may_receive(last.backup) else None

    async def _attempt_at_backup(self) -> attempts.StreamAttempt | None:
        """Return an attempt at the backup of the last one, if it is usable."""
        endpoint = self.usable_backup()
        self._state.last_attempt = None
        if endpoint is None or not await self._context.may_take(endpoint):
            return None
        return self._resumed_attempt(endpoint)

    def _resumed_attempt(
        self, endpoint: endpoints.FleetEndpoint
    ) -> attempts.StreamAttempt:
        now_s = self._loop.time()
        request_id = self._routed.request.facts.request_id
        return self._attempt(
            endpoint, now_s, f'{endpoint.address}/{request_id}'
        )

    def _backup_for(
        self, endpoint: endpoints.FleetEndpoint, now_s: float
    ) -> endpoints.FleetEndpoint | None:
        context = self._context
        engine = context.engine(self._routed.service)
        if (
            engine is None
            or not engine.has_backups
            or not self._routed.route.is_resumable
        ):
            return None
        return choose.choose_backup(
            self._state.candidates(),
            endpoint,
            context.endpoint_tracker,
            context.placements_for(self._routed.service, now_s),
            now_s,
            context.rng,
            context.limiter.view(self._state.candidates(), False, now_s),
            context.work_factors.at(self._routed.service, now_s),
        )
