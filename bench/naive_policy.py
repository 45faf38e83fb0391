"""Baseline of the move measurements: no product code uses it.

The share grows with time alone, over all replicas, and the version is
taken back once its failures in sum pass a fixed part of its requests, or
its mean duration a fixed factor of the old one's.
"""

from __future__ import annotations

_LEAST_REQUESTS = 50
_MOST_FAILING = 0.05
_MOST_SLOWER = 2.0


class NaivePolicy:
    """Linear ramp with fixed limits on totals."""

    def __init__(self) -> None:
        self._requests = 0
        self._failures = 0
        self._times = {True: 0.0, False: 0.0}
        self._timed = {True: 0, False: 0}

    def record(self, is_new: bool, ok: bool) -> None:
        """Add an outcome."""
        if is_new:
            self._requests += 1
            self._failures += not ok

    def record_time(self, is_new: bool, time_s: float) -> None:
        """Add how long a request took."""
        self._times[is_new] += time_s
        self._timed[is_new] += 1

    def share(self, part: float) -> float:
        """Return the share at a part of the time asked for."""
        return min(max(part, 0.0), 1.0)

    def is_bad(self) -> bool:
        """Tell whether a fixed limit is passed."""
        if self._requests < _LEAST_REQUESTS:
            return False
        if self._failures > _MOST_FAILING * self._requests:
            return True
        if not self._timed[True] or not self._timed[False]:
            return False
        new = self._times[True] / self._timed[True]
        old = self._times[False] / self._timed[False]
        return new > _MOST_SLOWER * old
