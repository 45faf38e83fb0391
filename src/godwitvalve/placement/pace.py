"""How fast the endpoints of a service read prompts and give events."""

from __future__ import annotations

from typing import NamedTuple

# A faster observation counts at once, a slower one by this share, so that
# the pace is that of an endpoint with little else to do.
SLOWER_SHARE = 0.05
# Share of the estimated time that a stream must have left. The estimate is
# a fast endpoint's; below this share no endpoint can finish.
NEEDED_SHARE = 0.85
# Shortest observed output of a kind of request, as a share of the usual.
SHORT_OUTPUT_SHARE = 0.7


class Pace(NamedTuple):
    """Fast paces of one service.

    :param read_ms: milliseconds for one token of a prompt.
    :param event_ms: milliseconds from one event to the next.
    :param events: events for one token of the largest allowed output.
    """

    read_ms: float
    event_ms: float
    events: float


def _towards(before: float, seen: float) -> float:
    if seen < before:
        return seen
    return before + SLOWER_SHARE * (seen - before)


class PaceBook:
    """Paces by service, from whole streams."""

    def __init__(self) -> None:
        self._paces: dict[str, Pace] = {}

    def observe(self, service: str, seen: Pace) -> None:
        """Take the pace of a whole stream that was read from its start."""
        before = self._paces.get(service)
        if before is None:
            self._paces[service] = seen
            return
        self._paces[service] = Pace(
            _towards(before.read_ms, seen.read_ms),
            _towards(before.event_ms, seen.event_ms),
            before.events + SLOWER_SHARE * (seen.events - before.events),
        )

    def learn(self, service: str, told: Pace) -> None:
        """Take another entry's pace if there is no own one."""
        self._paces.setdefault(service, told)

    def all(self) -> dict[str, Pace]:
        """Return the pace of each service."""
        return dict(self._paces)

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
        pace = self._paces.get(service)
        if pace is None:
            return True
        events = max_output_tokens * pace.events * SHORT_OUTPUT_SHARE
        needed_ms = (
            prompt_tokens * pace.read_ms
            + max(events - last_event, 0.0) * pace.event_ms
        )
        return left_ms >= needed_ms * NEEDED_SHARE
