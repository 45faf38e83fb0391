"""How fast the endpoints of a service read prompts and give events."""

from __future__ import annotations

from typing import NamedTuple

# A faster observation counts at once, a slower one by this share, so that
# the estimate is that of an endpoint with little else to do.
SLOWER_SHARE = 0.05
# Share of the estimated time that a stream must have left. The estimate is
# a fast endpoint's; below this share no endpoint can finish.
NEEDED_SHARE = 0.85
# Shortest observed output of a kind of request, as a share of the usual.
SHORT_OUTPUT_SHARE = 0.7


class SpeedEstimate(NamedTuple):
    """Fast paces of one service.

    :param prompt_token_ms: milliseconds for one token of a prompt.
    :param event_ms: milliseconds from one event to the next.
    :param events_per_token: events for each token of the largest
        allowed output.
    """

    prompt_token_ms: float
    event_ms: float
    events_per_token: float


def _smoothed(before: float, observed: float) -> float:
    if observed < before:
        return observed
    return before + SLOWER_SHARE * (observed - before)


class SpeedEstimates:
    """Paces by service, from whole streams."""

    def __init__(self) -> None:
        self._estimates: dict[str, SpeedEstimate] = {}

    def observe(self, service: str, observed: SpeedEstimate) -> None:
        """Take the pace of a whole stream that was read from its start."""
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
        """Take another entry's pace if there is no own one."""
        self._estimates.setdefault(service, received)

    def all(self) -> dict[str, SpeedEstimate]:
        """Return the pace of each service."""
        return dict(self._estimates)

    def can_finish(
        self,
        service: str,
        prompt_tokens: int,
        max_output_tokens: int,
        last_event: int,
        left_ms: float,
    ) -> bool:
        """Tell whether a stream can come to its end in time.

        Load pattern: all machines lose power; callers notice it when most
        of their time is over, and come back together. Reading prompts that
        cannot be answered delays those that can.

        :param prompt_tokens: tokens that must be read; 0 if not told.
        :param left_ms: milliseconds until the deadline.
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
        return left_ms >= needed_ms * NEEDED_SHARE
