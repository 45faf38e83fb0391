"""State of one stream that its attempts share."""

from __future__ import annotations

import asyncio

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import cached_prompts
from godwitvalve.forwarding import calls
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import events
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import gaps
from godwitvalve.forwarding import in_flight
from godwitvalve.forwarding import relocation as relocations
from godwitvalve.forwarding import silence
from godwitvalve.logs import setup as logs

_LOG = logs.get('forwarding')


class StreamState:
    """What one stream has sent, tried and been told so far."""

    def __init__(
        self,
        context: contexts.ForwardingContext,
        routed: calls.RoutedRequest,
        sink: attempts.Sink,
        pending: in_flight.RequestInFlight,
    ) -> None:
        self.context = context
        self.routed = routed
        self.sink = sink
        self.pending = pending
        self.loop = asyncio.get_running_loop()
        self.began_s = self.loop.time()
        self.times = attempts.StreamTimes()
        self.splitter = events.EventSplitter(routed.request.facts.last_event)
        self.gap_monitor = gaps.GapMonitor(
            routed.route.max_gap_ms / 1000,
            routed.route.objective_ms / 1000,
            context.paces.is_stated(routed.service),
        )
        self.segments = routed.request.facts.shared_segments
        self.prompt = cached_prompts.CachedPrompt(context, routed)
        self.tried_ids: set[str] = set()
        # Selects the version during a roll-out.
        self.draw = context.rng.random()
        self.current_exchange: exchanges.Exchange | None = None
        self.possible_runs = 0
        self.is_started = False
        self.last_attempt: attempts.StreamAttempt | None = None
        self.relocation: relocations.Relocation | None = None
        self._is_trial = False

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have run the stream."""
        return bool(
            self.possible_runs
            or (self.current_exchange and self.current_exchange.is_sent)
        )

    def begin_trial(self) -> bool:
        """Tell whether the stream is sent though it seems to be too late."""
        facts = self.routed.request.facts
        service = self.routed.service
        if not self._is_trial and self.context.speeds.begin_trial(
            service, facts.prompt_tokens, facts.max_output_tokens
        ):
            self._is_trial = True
            self.context.counters.count_speed_trial(service)
            _LOG.info(
                'Sending a stream that seems too late, to check the estimate.',
                extra={
                    'request_id': facts.request_id,
                    'service': service,
                    'prompt_tokens': facts.prompt_tokens,
                },
            )
        return self._is_trial

    def is_admitted(self) -> bool:
        """Tell whether the quarantine lets the prompt be sent now."""
        return self.context.quarantine.admit(
            self.routed.service, self.segments, self.loop.time()
        )

    def time_to_admission_s(self) -> float:
        """Return seconds until the quarantine admits the prompt."""
        admitted_from_s = self.context.quarantine.admitted_from_s(
            self.routed.service, self.segments
        )
        return max(admitted_from_s - self.loop.time(), 0.0)

    def quarantine_evidence(self) -> list[dict[str, object]]:
        """Return why the quarantine does not admit the prompt."""
        return self.context.quarantine.evidence(
            self.routed.service, self.segments
        )

    def is_blocked(self) -> bool:
        """Tell whether the prompt is known to crash endpoints."""
        blocked_until_s = self.context.quarantine.blocked_until_s(
            self.routed.service, self.segments
        )
        return self.loop.time() < blocked_until_s

    def progress(self, possible_runs: int) -> silence.StreamProgress:
        """Return the state that decides on another attempt."""
        route = self.routed.route
        return silence.StreamProgress(
            possible_runs,
            route.max_endpoints,
            route.is_resumable,
            self.routed.deadline_s - self.loop.time(),
        )

    def candidates(self) -> list[endpoints.FleetEndpoint]:
        """Return the endpoints that the stream may go to."""
        return self.context.candidates(self.routed.service, self.draw)
