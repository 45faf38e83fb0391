"""Metrics of forwarded requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import collectors

if TYPE_CHECKING:
    from godwitvalve.fleet import registry
    from godwitvalve.forwarding import in_flight
    from godwitvalve.forwarding import replies
    from godwitvalve.outcomes import codes

# Bucket bounds of the latency histograms, around the objectives of plain
# calls (0.2 s) and of first events (4.5 s).
LATENCY_BOUNDS_S = [
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.5,
    3.0,
    4.5,
    8.0,
    16.0,
]


class ForwardingCounters:
    """Counters and histograms of one entry instance.

    :param instance_id: constant label of each metric.
    """

    def __init__(self, instance_id: str) -> None:
        self.registry = collectors.Registry()
        labels = {'instance': instance_id}
        self._requests = self._counter(
            'godwitvalve_requests_total', 'Requests by service.', labels
        )
        self._retries = self._counter(
            'godwitvalve_retries_total', 'Sends after the first.', labels
        )
        self._sends = self._counter(
            'godwitvalve_sends_total',
            'Attempts by the state of their endpoint.',
            labels,
        )
        self._limited_sends = self._counter(
            'godwitvalve_limited_sends_total',
            'Attempts at endpoints that state a request limit.',
            labels,
        )
        self._permits = self._counter(
            'godwitvalve_permits_total',
            'Permits asked for at endpoints that state a request limit.',
            labels,
        )
        self._limited_endpoints = collectors.Gauge(
            'godwitvalve_limited_endpoints',
            'Endpoints that state a request limit.',
            const_labels=labels,
            registry=self.registry,
        )
        self._lost = self._counter(
            'godwitvalve_lost_attempts_total',
            'Attempts that may have run and got no answer, by reason.',
            labels,
        )
        self._poll_checks = self._counter(
            'godwitvalve_store_poll_checks_total',
            'Polls of the store that were ended as they may be silent.',
            labels,
        )
        self._crashes = self._counter(
            'godwitvalve_answer_crashes_total',
            'Endpoints that crashed as they began an answer.',
            labels,
        )
        self._refusals = self._counter(
            'godwitvalve_refusals_total', 'Own refusals by code.', labels
        )
        self._incomplete = self._counter(
            'godwitvalve_incomplete_answers_total',
            'Requests that ended without a complete answer by reason.',
            labels,
        )
        self._interruptions = self._counter(
            'godwitvalve_stop_interruptions_total',
            'Requests ended by a planned stop, by what they waited for.',
            labels,
        )
        self._latency = collectors.Histogram(
            'godwitvalve_answer_seconds',
            'Time to the whole answer of a call.',
            const_labels=labels,
            registry=self.registry,
            buckets=LATENCY_BOUNDS_S,
        )
        self._first_event = collectors.Histogram(
            'godwitvalve_first_event_seconds',
            'Time to the first event of a stream.',
            const_labels=labels,
            registry=self.registry,
            buckets=LATENCY_BOUNDS_S,
        )

    def _counter(
        self, name: str, text: str, labels: dict[str, str]
    ) -> collectors.Counter:
        return collectors.Counter(
            name, text, const_labels=labels, registry=self.registry
        )

    def count_request(self, service: str) -> None:
        """Count a request whose service is known."""
        self._requests.inc({'service': service})

    def count_retry(self, reason: str) -> None:
        """Count an attempt after the first one."""
        self._retries.inc({'reason': reason})

    def count_send(self, state: registry.EndpointState) -> None:
        """Count an attempt at an endpoint in a state."""
        self._sends.inc({'state': state.value})

    def count_limited_send(self, service: str) -> None:
        """Count an attempt at an endpoint that states a limit."""
        self._limited_sends.inc({'service': service})

    def count_permit(self, is_granted: bool) -> None:
        """Count a permit that was asked for."""
        self._permits.inc({'outcome': 'granted' if is_granted else 'denied'})

    def set_limited_endpoints(self, count: int) -> None:
        """Set the number of endpoints that state a limit."""
        self._limited_endpoints.set({}, count)

    def count_poll_check(self, reason: str) -> None:
        """Count a poll of the store that was ended as it may be silent."""
        self._poll_checks.inc({'reason': reason})

    def count_lost(self, reason: str) -> None:
        """Count an attempt that may have run and got no answer."""
        self._lost.inc({'reason': reason})

    def count_crash(self, service: str) -> None:
        """Count an endpoint that crashed as it began an answer."""
        self._crashes.inc({'service': service})

    def count_refusal(self, code: codes.ResultCode) -> None:
        """Count an answer of this entry in place of an endpoint's."""
        self._refusals.inc({'code': str(code.value), 'reason': code.name})

    def count_incomplete(self, reason: replies.IncompleteReason) -> None:
        """Count a request that ended without a complete answer."""
        self._incomplete.inc({'reason': reason.value})

    def count_interruption(self, wait: in_flight.Wait) -> None:
        """Count a request that a planned stop ended."""
        self._interruptions.inc({'waits_for': wait.value})

    def observe_answer(self, route: str, seconds: float) -> None:
        """Record the time to a complete answer."""
        self._latency.observe({'route': route}, seconds)

    def observe_first_event(self, route: str, seconds: float) -> None:
        """Record the time to the first event of a stream."""
        self._first_event.observe({'route': route}, seconds)
