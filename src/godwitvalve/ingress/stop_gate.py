"""Decides which requests a planned stop still leaves time for."""

from __future__ import annotations

import time

from godwitvalve.fleet import routes
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import in_flight
from godwitvalve.ingress import deadlines
from godwitvalve.lifecycle import drain
from godwitvalve.lifecycle import lifecycle as lifecycles
from godwitvalve.platform import headers as wire

# How long streams are accepted during a drain at most. How long one takes is
# an estimate, and it takes longer if it has to go on at another endpoint.
STREAM_ACCEPT_PERIOD_S = 1.2


class StopGate:
    """Accepts the requests that can end before a planned stop.

    :ivar stop: schedule of the stop; None if none has begun.
    """

    def __init__(
        self,
        context: contexts.ForwardingContext,
        lifecycle: lifecycles.Lifecycle,
    ) -> None:
        self._context = context
        self._lifecycle = lifecycle
        self.stop: drain.StopSchedule | None = None

    def is_due(self, pending: in_flight.RequestInFlight, now_s: float) -> bool:
        """Tell whether a request has to end now, before the stop."""
        return (
            self.stop is not None
            and not pending.is_interrupted
            and drain.is_due(self.stop, now_s, pending.has_begun)
        )

    def accepts(
        self, route: routes.Route, facts: wire.CallerFacts, arrived_s: float
    ) -> bool:
        """Tell whether a request that arrives is accepted.

        :param arrived_s: seconds of the event loop's clock.
        """
        if self.stop is None:
            return True
        if route.kind is routes.RequestKind.STREAM:
            accept_until_s = self.stop.began_s + STREAM_ACCEPT_PERIOD_S
            is_accepted = time.monotonic() < accept_until_s
        else:
            is_accepted = self._lifecycle.accepts_requests(time.monotonic())
        return is_accepted and self.can_end(route, facts, arrived_s)

    def can_end(
        self, route: routes.Route, facts: wire.CallerFacts, arrived_s: float
    ) -> bool:
        """Tell whether a request that was not sent ends before the stop."""
        if self.stop is None:
            return True
        expected_s = None
        if route.kind is routes.RequestKind.STREAM:
            expected_s = self._expected_stream_s(route, facts)
        return drain.admits(
            self.stop,
            time.monotonic(),
            deadlines.answer_by_s(route, facts, arrived_s),
            expected_s,
        )

    def _expected_stream_s(
        self, route: routes.Route, facts: wire.CallerFacts
    ) -> float | None:
        """Return the longest expectation of the services of a route."""
        expected_s = [
            self._context.speeds.expected_s(
                each.service,
                facts.prompt_tokens,
                facts.max_output_tokens,
                facts.last_event,
            )
            for each in route.services
        ]
        known_s = [each for each in expected_s if each is not None]
        if not known_s or len(known_s) < len(expected_s):
            return None
        return max(known_s)
