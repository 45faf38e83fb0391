"""Speed estimates of services: prompt processing and event rate."""

from __future__ import annotations

from collections import abc
import time
from typing import NamedTuple

from godwitvalve.decoding import bounds
from godwitvalve.placement import prompt_times

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
# An estimate that refuses streams gets no observation of such ones. If it is
# wrong, one of them in this period corrects it, and few are sent in vain.
TRIAL_PERIOD_S = 10.0


class SpeedObservation(NamedTuple):
    """Speed of one complete stream.

    :param prompt: time that its prompt took.
    :param event_ms: time between events in milliseconds.
    :param events_per_token: events per token of the output limit.
    :param max_output_tokens: that limit.
    """

    prompt: prompt_times.PromptTime
    event_ms: float
    events_per_token: float
    max_output_tokens: int


class SpeedEstimate(NamedTuple):
    """Speed of the endpoints of one service.

    :param prompts: times of prompts of different sizes.
    :param event_ms: time between events in milliseconds.
    :param events_per_token: events per token of the output limit.
    """

    prompts: prompt_times.PromptTimes
    event_ms: bounds.Number
    events_per_token: bounds.Number


class _Sizes(NamedTuple):
    """Size classes of a stream's prompt and output."""

    prompt: int
    output: int


def _sizes(prompt_tokens: float, max_output_tokens: int) -> _Sizes:
    return _Sizes(
        prompt_times.size_class(prompt_tokens),
        prompt_times.size_class(max_output_tokens),
    )


def _smoothed(before: float, observed: float) -> float:
    if observed < before:
        return observed
    return before + SLOWER_SHARE * (observed - before)


def _slowest(before: float, observed: float) -> float:
    if observed > before:
        return observed
    return before + FASTER_SHARE * (observed - before)


def _from_first(observed: SpeedObservation) -> SpeedEstimate:
    return SpeedEstimate(
        (observed.prompt,), observed.event_ms, observed.events_per_token
    )


class SpeedEstimates:
    """Speed estimates by service, from completed streams.

    :param clock_s: monotonic seconds.
    """

    def __init__(
        self, clock_s: abc.Callable[[], float] = time.monotonic
    ) -> None:
        self._clock_s = clock_s
        self._estimates: dict[str, SpeedEstimate] = {}
        # Those of busy endpoints, from the streams of this entry.
        self._busy: dict[str, SpeedEstimate] = {}
        # When streams were observed last, by service and sizes.
        self._observed_s: dict[str, dict[_Sizes, float]] = {}
        self._trial_s: dict[str, float] = {}

    def observe(
        self,
        service: str,
        observed: SpeedObservation,
        relative_speed: float = 1.0,
    ) -> None:
        """Update the estimates from a stream that one endpoint completed.

        :param relative_speed: speed of the endpoint; the estimates are those
            of a usual one.
        """
        sizes = _sizes(observed.prompt.tokens, observed.max_output_tokens)
        self._observed_s.setdefault(service, {})[sizes] = self._clock_s()
        busy = self._busy.get(service, _from_first(observed))
        self._busy[service] = SpeedEstimate(
            prompt_times.with_slow(
                busy.prompts, observed.prompt, FASTER_SHARE
            ),
            _slowest(busy.event_ms, observed.event_ms),
            _slowest(busy.events_per_token, observed.events_per_token),
        )
        prompt = observed.prompt
        observed = observed._replace(
            prompt=prompt._replace(
                first_event_ms=prompt.first_event_ms * relative_speed
            ),
            event_ms=observed.event_ms * relative_speed,
        )
        before = self._estimates.get(service)
        if before is None:
            self._estimates[service] = _from_first(observed)
            return
        self._estimates[service] = SpeedEstimate(
            prompt_times.with_fast(
                before.prompts, observed.prompt, SLOWER_SHARE
            ),
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
            prompt_times.least_ms(estimate.prompts, prompt_tokens)
            + max(events - last_event, 0.0) * estimate.event_ms
        )
        return left_ms >= needed_ms * work_factor * NEEDED_SHARE

    def begin_trial(
        self, service: str, prompt_tokens: int, max_output_tokens: int
    ) -> bool:
        """Tell whether a stream is sent though it seems to be too late.

        Load pattern: the estimate comes from few streams, from streams of
        another size, from endpoints in trouble or from another entry, and
        refuses each stream that would correct it.

        :returns: whether no stream of about this size or more was completed
            for a while; at most once in ``TRIAL_PERIOD_S``.
        """
        oldest_s = self._clock_s() - TRIAL_PERIOD_S
        wanted = _sizes(prompt_tokens, max_output_tokens)
        observed_s = self._observed_s.get(service, {})
        if self._trial_s.get(service, oldest_s) > oldest_s or any(
            at_s > oldest_s
            and sizes.prompt >= wanted.prompt - 1
            and sizes.output >= wanted.output - 1
            for sizes, at_s in observed_s.items()
        ):
            return False
        self._trial_s[service] = self._clock_s()
        return True

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
            prompt_times.most_ms(busy.prompts, prompt_tokens)
            + max(events - last_event, 0.0) * busy.event_ms
        ) / 1000
