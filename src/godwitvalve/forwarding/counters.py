"""Metrics of forwarded requests."""

from __future__ import annotations

from collections import abc
from typing import TYPE_CHECKING

from aioprometheus import collectors

if TYPE_CHECKING:
    from godwitvalve.fleet import registry
    from godwitvalve.forwarding import in_flight
    from godwitvalve.forwarding import replies
    from godwitvalve.outcomes import codes

# Relative speed below which an endpoint counts as slow for operators.
SLOW_ENDPOINT = 0.75
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
        self._cached_tokens = self._counter(
            'godwitvalve_cached_prompt_tokens_total',
            'Prompt tokens that were expected to be cached, by service.',
            labels,
        )
        self._account_use = collectors.Gauge(
            'godwitvalve_account_use',
            'Requests in flight at full services by account, all entries.',
            const_labels=labels,
            registry=self.registry,
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
        self._leaving = self._counter(
            'godwitvalve_stated_leaving_total',
            'Endpoints that stated in an answer that they leave.',
            labels,
        )
        self._pauses = self._counter(
            'godwitvalve_endpoint_pauses_total',
            'Endpoints that turned a request away and asked for a pause.',
            labels,
        )
        self._speed_observations = self._counter(
            'godwitvalve_speed_observations_total',
            'Times between events that the speed of an endpoint follows from.',
            labels,
        )
        self._speed_trials = self._counter(
            'godwitvalve_speed_trials_total',
            'Streams that seemed too late and were sent to check the speed.',
            labels,
        )
        self._streams_by_speed = self._counter(
            'godwitvalve_stream_sends_by_speed_total',
            'Attempts of streams by the relative speed of their endpoint.',
            labels,
        )
        self._speed = collectors.Gauge(
            'godwitvalve_endpoint_speed',
            'Relative speed by service and address; 1 is the median.',
            const_labels=labels,
            registry=self.registry,
        )
        self._pace = collectors.Gauge(
            'godwitvalve_endpoint_pace',
            'How long work takes now by service and address; 1 is usual.',
            const_labels=labels,
            registry=self.registry,
        )
        self._refusals = self._counter(
            'godwitvalve_refusals_total', 'Own refusals by code.', labels
        )
        self._stream_refusals = self._counter(
            'godwitvalve_stream_refusals_total',
            'Streams that admission refused, by reason.',
            labels,
        )
        self._returns = self._counter(
            'godwitvalve_stream_returns_total',
            'Refused streams whose callers came back to this entry.',
            labels,
        )
        self._streams_waiting = collectors.Gauge(
            'godwitvalve_streams_waiting',
            'Streams that wait for room.',
            const_labels=labels,
            registry=self.registry,
        )
        self._expected_wait = collectors.Gauge(
            'godwitvalve_stream_expected_wait_seconds',
            'Expected wait of the last stream that found no room.',
            const_labels=labels,
            registry=self.registry,
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

    def count_cached_tokens(self, service: str, tokens: int) -> None:
        """Count prompt tokens that an endpoint had cached."""
        self._cached_tokens.add({'service': service}, tokens)

    def set_account_use(self, service: str, account: str, count: int) -> None:
        """Set what an account has in flight at a service, at all entries."""
        self._account_use.set({'service': service, 'account': account}, count)

    def set_limited_endpoints(self, count: int) -> None:
        """Set the number of endpoints that state a limit."""
        self._limited_endpoints.set({}, count)

    def count_speed_observation(self, service: str) -> None:
        """Count an observation of the time between events."""
        self._speed_observations.inc({'service': service})

    def count_speed_trial(self, service: str) -> None:
        """Count a stream that was sent though it seemed too late."""
        self._speed_trials.inc({'service': service})

    def count_stream_by_speed(self, service: str, speed: float) -> None:
        """Count an attempt of a stream at an endpoint of a speed."""
        kind = 'slow' if speed < SLOW_ENDPOINT else 'usual'
        self._streams_by_speed.inc({'service': service, 'speed': kind})

    def set_speeds(
        self,
        speeds: abc.Mapping[tuple[str, str], float],
        paces: abc.Mapping[tuple[str, str], float],
    ) -> None:
        """Set the speeds and paces by service and address; drop others."""
        for gauge, figures in ((self._speed, speeds), (self._pace, paces)):
            gauge.values.clear()
            for (service, address), figure in figures.items():
                gauge.set({'service': service, 'address': address}, figure)

    def count_poll_check(self, reason: str) -> None:
        """Count a poll of the store that was ended as it may be silent."""
        self._poll_checks.inc({'reason': reason})

    def count_lost(self, reason: str) -> None:
        """Count an attempt that may have run and got no answer."""
        self._lost.inc({'reason': reason})

    def count_crash(self, service: str) -> None:
        """Count an endpoint that crashed as it began an answer."""
        self._crashes.inc({'service': service})

    def count_leaving(self, service: str) -> None:
        """Count an endpoint that stated in an answer that it leaves."""
        self._leaving.inc({'service': service})

    def count_pause(self, service: str) -> None:
        """Count an endpoint that asked for a pause."""
        self._pauses.inc({'service': service})

    def count_refusal(self, code: codes.ResultCode) -> None:
        """Count an answer of this entry in place of an endpoint's."""
        self._refusals.inc({'code': str(code.value), 'reason': code.name})

    def count_stream_refusal(self, service: str, reason: str) -> None:
        """Count a stream that admission refused."""
        self._stream_refusals.inc({'service': service, 'reason': reason})

    def count_return(self, service: str) -> None:
        """Count a refused stream whose caller came back."""
        self._returns.inc({'service': service})

    def set_waiting(self, service: str, count: int, wait_s: float) -> None:
        """Set the number of waiting streams and their expected wait."""
        self._streams_waiting.set({'service': service}, count)
        self._expected_wait.set({'service': service}, wait_s)

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
