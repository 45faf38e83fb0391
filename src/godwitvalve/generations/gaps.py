"""Idle time-outs derived from measured gaps between events."""

from __future__ import annotations

import collections
from typing import NamedTuple


class GapLimits(NamedTuple):
    """Bounds of the idle time-out in seconds.

    The ceiling leaves time for a stream resume and an attempt on another
    replica within 3 s. The floor keeps scheduling noise from counting as a
    loss.

    :param multiple: time-out as a multiple of the estimated gap.
    """

    multiple: float = 8.0
    floor_s: float = 0.3
    ceiling_s: float = 1.0


class GapTracker:
    """Moving average of the gap that rises fast and falls slowly."""

    RISE = 0.5
    FALL = 0.02

    def __init__(self, limits: GapLimits) -> None:
        self._limits = limits
        self._gap_s = limits.ceiling_s / limits.multiple

    def observe(self, gap_s: float) -> None:
        """Record the time between two events."""
        change = gap_s - self._gap_s
        self._gap_s += change * (self.RISE if change > 0 else self.FALL)

    def timeout_s(self) -> float:
        """Return how long a stream may stay idle."""
        limits = self._limits
        timeout_s = limits.multiple * self._gap_s
        return min(limits.ceiling_s, max(limits.floor_s, timeout_s))


class GapTrackers:
    """Trackers by service and version; the oldest is evicted."""

    MAX_TRACKERS = 512

    def __init__(self, limits: GapLimits) -> None:
        self._limits = limits
        self._trackers: collections.OrderedDict[
            tuple[str, str], GapTracker
        ] = collections.OrderedDict()

    def tracker(self, service: str, version: str) -> GapTracker:
        key = (service, version)
        tracker = self._trackers.get(key)
        if tracker is None:
            tracker = self._trackers[key] = GapTracker(self._limits)
            if len(self._trackers) > self.MAX_TRACKERS:
                self._trackers.popitem(last=False)
        return tracker
