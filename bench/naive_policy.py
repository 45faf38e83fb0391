"""Baseline policy of the move measurements; the product does not use it.

The share grows linearly with time over all replicas. The version is taken
back once its total failures exceed a fixed fraction of its requests, or its
mean duration exceeds a fixed multiple of the old version's.
"""

from __future__ import annotations

_MIN_REQUESTS = 50
_MAX_FAILURE_FRACTION = 0.05
_MAX_SLOWDOWN = 2.0


class NaivePolicy:
    """Linear ramp with fixed limits on total failures and mean duration."""

    def __init__(self) -> None:
        self._requests = 0
        self._failures = 0
        self._total_s = {True: 0.0, False: 0.0}
        self._timed_requests = {True: 0, False: 0}

    def record(self, is_new: bool, ok: bool) -> None:
        """Count the outcome of a request to the new version."""
        if is_new:
            self._requests += 1
            self._failures += not ok

    def record_time(self, is_new: bool, time_s: float) -> None:
        """Add the duration of a request."""
        self._total_s[is_new] += time_s
        self._timed_requests[is_new] += 1

    def share(self, elapsed_fraction: float) -> float:
        """Return the share after a fraction of the requested duration."""
        return min(max(elapsed_fraction, 0.0), 1.0)

    def is_bad(self) -> bool:
        """Tell whether the new version exceeds a fixed limit."""
        if self._requests < _MIN_REQUESTS:
            return False
        if self._failures > _MAX_FAILURE_FRACTION * self._requests:
            return True
        if not self._timed_requests[True] or not self._timed_requests[False]:
            return False
        new_mean_s = self._total_s[True] / self._timed_requests[True]
        old_mean_s = self._total_s[False] / self._timed_requests[False]
        return new_mean_s > _MAX_SLOWDOWN * old_mean_s
