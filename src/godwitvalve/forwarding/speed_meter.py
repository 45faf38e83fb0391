"""Learns and uses the pace and the speed of endpoints in forwarding."""

from __future__ import annotations

from collections import abc
import statistics
from typing import Protocol

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import silence
from godwitvalve.placement import choose
from godwitvalve.rollouts import observation as observations

# Intervals of one observation: a few hundred milliseconds at usual engines.
# Endpoints that crash every few seconds complete few streams.
INTERVALS = 8
# Share of an interval that sending to the caller may take. Events that wait
# in the connection meanwhile would look faster than the endpoint sent them.
MAX_SENDING_SHARE = 0.25


class SpeedMeter:
    """Collects the intervals between the events of one attempt.

    Load pattern: while an engine processes another prompt, or in a slow span
    of its machine, a few intervals are several times as long as usual. So
    the median of some intervals counts. Times are on the loop's clock.
    """

    def __init__(self) -> None:
        self._received_s = 0.0
        self._sent_s = 0.0
        self._interval_s: float | None = None
        self._intervals_ms: list[float] = []

    def record_events(self, count: int, now_s: float) -> None:
        """Record that events arrived together.

        :param count: number of events, at least 1.
        """
        interval_s = now_s - self._received_s
        sending_s = self._sent_s - self._received_s
        is_valid = (
            self._received_s > 0.0
            and sending_s <= interval_s * MAX_SENDING_SHARE
        )
        self._interval_s = interval_s / count if is_valid else None
        self._received_s = now_s

    def record_sent(self, pace: float, now_s: float) -> float | None:
        """Record that the caller was sent the events.

        :param pace: pace of the endpoint now; intervals are divided by it.
        :returns: milliseconds between events at the usual pace, once there
            are enough intervals; then the next ones are collected.
        """
        self._sent_s = now_s
        if self._interval_s is None:
            return None
        self._intervals_ms.append(self._interval_s * 1000 / pace)
        if len(self._intervals_ms) < INTERVALS:
            return None
        median_ms = statistics.median(self._intervals_ms)
        self._intervals_ms.clear()
        return median_ms


class MeasuredAttempt(Protocol):
    """Attempt of a stream whose intervals are measured."""

    @property
    def endpoint(self) -> endpoints.FleetEndpoint:
        """Return the endpoint that runs it."""

    @property
    def speed_meter(self) -> SpeedMeter:
        """Return its intervals."""

    @property
    def progress_s(self) -> float:
        """Return when its last events were passed on."""


def after_send(
    context: contexts.ForwardingContext, attempt: MeasuredAttempt
) -> None:
    """Learn the speed of an endpoint where its service states its pace.

    :param attempt: attempt whose events were just passed on.
    """
    endpoint = attempt.endpoint
    if not context.paces.is_stated(endpoint.service):
        return
    now_s = attempt.progress_s
    pace = context.paces.pace(endpoint.endpoint_id, now_s)
    event_ms = attempt.speed_meter.record_sent(pace, now_s)
    if event_ms is not None:
        # The pace is already taken out of each interval.
        context.endpoint_speeds.observe(endpoint, event_ms, 1.0, now_s)
        context.counters.count_speed_observation(endpoint.service)


def record_send(
    context: contexts.ForwardingContext, endpoint: endpoints.FleetEndpoint
) -> float:
    """Count a stream by the speed of its endpoint; return this speed."""
    speed = context.work_factors.long_term_speed(endpoint)
    if context.paces.is_stated(endpoint.service):
        context.counters.count_stream_by_speed(endpoint.service, speed)
    return round(speed, 2)


def stated_pace(
    context: contexts.ForwardingContext,
    endpoint: endpoints.FleetEndpoint,
    clock_s: abc.Callable[[], float],
) -> observations.StatedPace | None:
    """Return the pace that explains a late answer of an endpoint.

    The learned speed explains none: a slow version lowers the speed of the
    addresses at which it runs.
    """
    if not context.paces.is_stated(endpoint.service):
        return None
    return observations.StatedPace(
        clock_s, lambda: context.paces.pace(endpoint.endpoint_id, clock_s())
    )


def least_work(
    context: contexts.ForwardingContext,
    candidates: abc.Collection[endpoints.FleetEndpoint],
    now_s: float,
) -> float:
    """Return the least work factor of endpoints with room for a stream.

    If none is known to have room, all count, as room may come.
    """
    if not any(context.paces.is_stated(each.service) for each in candidates):
        return 1.0
    remote = context.admission.placements(now_s, context.remote_placements)
    free = [
        each
        for each in candidates
        if silence.is_open(
            each,
            context.endpoint_tracker.stats(each.endpoint_id),
            remote.get(each.endpoint_id, choose.Placements()),
            now_s,
        )
    ]
    return context.work_factors.least(free or candidates)
