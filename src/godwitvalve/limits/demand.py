"""Offered load of one client account at this entry."""

from __future__ import annotations

import math

# One report interval; with less smoothing, single requests would show as
# changes of demand.
SMOOTHING_S = 1.0


class DemandMeter:
    """Smoothed rate of requested work, admitted or refused."""

    def __init__(self, now_s: float) -> None:
        self._rate_per_s = 0.0
        self._updated_s = now_s

    def add(self, amount: float, now_s: float) -> None:
        """Count requested work."""
        self._decay(now_s)
        self._rate_per_s += amount / SMOOTHING_S

    def rate_per_s(self, now_s: float) -> float:
        self._decay(now_s)
        return self._rate_per_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._rate_per_s *= math.exp(-elapsed_s / SMOOTHING_S)
        self._updated_s = now_s
