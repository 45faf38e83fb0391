"""Weighs and records the endpoints that have a stream's prompt cached."""

from __future__ import annotations

import asyncio

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import calls
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import silence
from godwitvalve.placement import choose
from godwitvalve.placement import prefixes


class CachedPrompt:
    """The prompt of one stream in the table of cached segments.

    :param cached_tokens: tokens of the prompt that endpoints of its attempts
        are expected not to have read anew.
    """

    def __init__(
        self, context: contexts.ForwardingContext, routed: calls.RoutedRequest
    ) -> None:
        self._context = context
        self._service = routed.service
        self._facts = routed.request.facts
        self._loop = asyncio.get_running_loop()
        self.cached_tokens = 0

    def _demand(self) -> prefixes.Demand:
        engine = self._context.engine(self._service)
        return prefixes.Demand(
            self._service,
            self._facts.segments,
            (engine.kv_capacity_tokens or 0) if engine else 0,
            self._context.sessions.find(
                self._facts.session, self._loop.time()
            ),
        )

    def savings(self) -> choose.Savings | None:
        """Return the saving by endpoint; None where no pace is stated."""
        context = self._context
        if not context.paces.is_stated(self._service):
            return None
        demand = self._demand()
        now_s = self._loop.time()
        remote = context.placements_for(self._service, now_s)

        def saving(endpoint: endpoints.FleetEndpoint) -> float:
            has_room = silence.is_open(
                endpoint,
                context.endpoint_tracker.stats(endpoint.endpoint_id),
                remote.get(endpoint.endpoint_id, choose.Placements()),
                now_s,
                False,
            )
            if not has_room:
                return 0.0
            return context.prefixes.saving(
                endpoint.endpoint_id,
                demand,
                now_s,
            )

        return saving

    def record_begin(self, attempt: attempts.StreamAttempt) -> None:
        """Record that an endpoint has read the prompt."""
        if not self._context.paces.is_stated(self._service):
            return
        # The prompt of a resumed stream comes from its backup.
        if not attempt.memory_source:
            held = self._context.prefixes.held_tokens(
                attempt.endpoint.endpoint_id,
                self._demand(),
                self._loop.time(),
            )
            self.cached_tokens += held
            self._context.counters.count_cached_tokens(self._service, held)
        self._record(attempt, 0)

    def record_end(self, attempt: attempts.StreamAttempt) -> None:
        """Record that an endpoint has written the whole answer.

        The tokens of the answer are not known, so that as many as it may
        have count. A segment that is still cached may be taken for evicted.
        """
        if self._context.paces.is_stated(self._service):
            self._record(attempt, self._facts.max_output_tokens)

    def _record(
        self, attempt: attempts.StreamAttempt, output_tokens: int
    ) -> None:
        self._context.prefixes.record(
            attempt.endpoint.endpoint_id,
            self._demand(),
            output_tokens,
            self._loop.time(),
        )
