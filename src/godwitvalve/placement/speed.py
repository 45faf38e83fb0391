"""Speed estimates of services: prompt processing and event rate."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.decoding import bounds

# Smoothing factor for slower observations; faster ones are used at once, so
# that the estimate is that of a lightly loaded endpoint.
SLOWER_SHARE = 0.05
# Share of the estimated time that must remain until the deadline. The
# estimate is that of a fast endpoint; with less, no endpoint can finish.
NEEDED_SHARE = 0.85
# Shortest output of a kind of request, as a share of the average.
SHORT_OUTPUT_SHARE = 0.7
# Smoothing factor for faster observations in the estimate of busy endpoints;
# slower ones are used at once.
FASTER_SHARE = 0.05


class SpeedEstimate(NamedTuple):
    """Speed of the lightly loaded endpoints of one service.

    :param prompt_token_ms: processing time per prompt token in milliseconds.
    :param event_ms: time between events in milliseconds.
    :param events_per_token: events per token of the output limit.
    """

    prompt_token_ms: bounds.Number
    event_ms: bounds.Number
    events_per_token: bounds.Number


def _smoothed(before: float, observed: float) -> float:
    if observed < before:
        return observed
    return before + SLOWER_SHARE * (observed - before)


def _slowest(before: float, observed: float) -> float:
    if observed > before:
        return observed
    return before + FASTER_SHARE * (observed - before)


class SpeedEstimates:
    """Speed estimates by service, from completed streams."""

    def __init__(self) -> None:
        self._estimates: dict[str, SpeedEstimate] = {}
        # Those of busy endpoints, from the streams of this entry.
        self._busy: dict[str, SpeedEstimate] = {}

    def observe(
        self,
        service: str,
        observed: SpeedEstimate,
        relative_speed: float = 1.0,
    ) -> None:
        """Update the estimates from a stream that one endpoint completed.

        :param relative_speed: speed of the endpoint; the estimates are those
            of a usual one.
        """
        busy = self._busy.get(service, observed)
        self._busy[service] = SpeedEstimate(*map(_slowest, busy, observed))
        observed = observed._replace(
            prompt_token_ms=observed.prompt_token_ms * relative_speed,
            event_ms=observed.event_ms * relative_speed,
        )
        before = self._estimates.get(service)
        if before is None:
            self._estimates[service] = observed
            return
        self._estimates[service] = SpeedEstimate(
            _smoothed(before.prompt_token_ms, observed.prompt_token_ms),
            _smoothed(before.event_ms, observed.event_ms),
            before.events_per_token
            + SLOWER_SHARE
            * (observed.events_per_token - before.events_per_token),
        )

    def add_received(self, service: str, received: SpeedEstimate) -> None:
        """Use the estimate of another entry if there is no own one."""
        self._estimates.setdefault(service, received)

    def all(self) -> dict[str, SpeedEstimate]:
        """Return the estimates by service."""
        return dict(self._estimates)

    def can_finish(
        self,
        service: str,
        prompt_tokens: int,
        max_output_tokens: int,
        last_event: int,
        left_ms: float,
        work_factor: float = 1.0,
    ) -> bool:
        """Return whether a stream can complete before its deadline.

        Load pattern: all machines lose power; callers notice it with little
        time left and retry together. Processing prompts of streams that
        cannot complete in time delays those that can.

        :param prompt_tokens: tokens to process; 0 if the prompt was
            processed before or its size is unknown.
        :param last_event: number of the last event that the caller has.
        :param left_ms: milliseconds until the deadline.
        :param work_factor: how long work takes at the fastest endpoint that
            may run it, compared with a usual one.
        """
        estimate = self._estimates.get(service)
        if estimate is None:
            return True
        events = (
            max_output_tokens * estimate.events_per_token * SHORT_OUTPUT_SHARE
        )
        needed_ms = (
            prompt_tokens * estimate.prompt_token_ms
            + max(events - last_event, 0.0) * estimate.event_ms
        )
        return left_ms >= needed_ms * work_factor * NEEDED_SHARE

    def expected_s(
        self,
        service: str,
        prompt_tokens: int,
        max_output_tokens: int,
        last_event: int,
    ) -> float | None:
        """Return how long a stream takes at a busy endpoint, in seconds.

        :param prompt_tokens: tokens to process; 0 if unknown.
        :param max_output_tokens: 0 if unknown.
        :param last_event: number of the last event that the caller has.
        :returns: None if this entry has not seen any stream of the service.
        """
        busy = self._busy.get(service)
        if busy is None or not prompt_tokens or not max_output_tokens:
            return None
        events = max_output_tokens * busy.events_per_token
        return (
            prompt_tokens * busy.prompt_token_ms
            + max(events - last_event, 0.0) * busy.event_ms
        ) / 1000
