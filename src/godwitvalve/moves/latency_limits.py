"""Latency limits above which an answer counts as slow, by route."""

from __future__ import annotations

import collections

from godwitvalve.moves import evidence_rows

# Fraction of the old version's answers that count as slow. If it were larger,
# slow answers of the old version would hide those of the new one.
_SLOW_FRACTION = 0.1
_MIN_SAMPLES = 30
# No request, or output token, counts as slow below this. Callers do not
# notice such times, and scheduling noise alone can double them.
_MIN_LIMIT_S = 0.01
_MIN_LIMIT_BIN = evidence_rows.time_bin(_MIN_LIMIT_S)
_ROTATION_INTERVAL_S = 60.0


class LatencyLimits:
    """Quantiles of the old version's times in the last two minutes.

    A limit is the same for both versions and is computed only from buckets
    before those that it applies to.
    """

    def __init__(self) -> None:
        self._current: dict[str, collections.Counter[int]] = {}
        self._previous: dict[str, collections.Counter[int]] = {}
        self._rotated_wall_s = 0.0
        self._limits: dict[str, int] = {}

    def add(self, route: str, times: tuple[tuple[int, int], ...]) -> None:
        """Add times of the old version."""
        counts = self._current.setdefault(route, collections.Counter())
        for index, count in times:
            counts[index] += count

    def refresh(self, now_wall_s: float) -> None:
        """Recompute the limits, once a minute as soon as there are any."""
        if now_wall_s - self._rotated_wall_s < _ROTATION_INTERVAL_S:
            if self._limits:
                return
        else:
            self._rotated_wall_s = now_wall_s
        for route, counts in self._current.items():
            merged = counts + self._previous.get(route, collections.Counter())
            if merged.total() >= _MIN_SAMPLES:
                self._limits[route] = max(_upper_bin(merged), _MIN_LIMIT_BIN)
        for route in list(self._current):
            if self._current[route].total() >= _MIN_SAMPLES:
                self._previous[route] = self._current.pop(route)

    def slow_count(
        self, route: str, times: tuple[tuple[int, int], ...]
    ) -> int | None:
        """Return how many of the times are slow, or None without a limit."""
        limit = self._limits.get(route)
        if limit is None or not times:
            return None
        return sum(count for index, count in times if index > limit)


def _upper_bin(counts: collections.Counter[int]) -> int:
    """Return the lowest bin with at most the slow fraction above it."""
    allowed = _SLOW_FRACTION * counts.total()
    above = 0
    for index in sorted(counts, reverse=True):
        above += counts[index]
        if above > allowed:
            return index
    return min(counts)
