"""Deadline for the next event of a stream, from measured gaps."""

from __future__ import annotations

import math

QUANTILE = 0.99
# Twice the typical spread between p99 and the largest gap of a loaded
# batch; a false alarm costs one stream resume without prefill.
MULTIPLE = 4.0
# Below this a garbage collection pause of an engine looks like a loss.
LEAST_DEADLINE_S = 0.4
# Leaves more than a second of the 3 s for the resume itself.
GREATEST_DEADLINE_S = 1.5
# A slow spell stops raising the p99 within about seven half-lives.
HALF_LIFE_S = 5.0
MIN_SAMPLES = 50.0

_LEAST_GAP_S = 0.001
_STEPS_PER_DOUBLING = 4
_BUCKETS = 60


class GapTracker:
    """Decaying histogram of the gaps between events of streams."""

    def __init__(self, now_s: float) -> None:
        self._counts = [0.0] * _BUCKETS
        self._halve_at_s = now_s + HALF_LIFE_S
        self._deadline_s = GREATEST_DEADLINE_S
        self._fresh = 0

    def record(self, gap_s: float, now_s: float) -> None:
        """Count one gap between two events of a stream."""
        self._counts[_bucket(gap_s)] += 1.0
        self._fresh += 1
        if now_s >= self._halve_at_s:
            self._counts = [count / 2 for count in self._counts]
            self._halve_at_s = now_s + HALF_LIFE_S
        # Reading the quantile once in 64 gaps keeps the cost per token
        # constant and small.
        if self._fresh >= 64:
            self._fresh = 0
            self._deadline_s = self._measure()

    def deadline_s(self, last_event_s: float) -> float:
        """Return when a stream counts as silent.

        :param last_event_s: time of its last event.
        """
        return last_event_s + self._deadline_s

    def _measure(self) -> float:
        total = sum(self._counts)
        if total < MIN_SAMPLES:
            return GREATEST_DEADLINE_S
        seen = 0.0
        for index, count in enumerate(self._counts):
            seen += count
            if seen >= QUANTILE * total:
                break
        gap_s = _upper_edge_s(index)
        deadline_s = max(MULTIPLE * gap_s, LEAST_DEADLINE_S)
        return min(deadline_s, GREATEST_DEADLINE_S)


def _bucket(gap_s: float) -> int:
    if gap_s <= _LEAST_GAP_S:
        return 0
    steps = math.log2(gap_s / _LEAST_GAP_S) * _STEPS_PER_DOUBLING
    return min(math.ceil(steps), _BUCKETS - 1)


def _upper_edge_s(index: int) -> float:
    return float(_LEAST_GAP_S * 2.0 ** (index / _STEPS_PER_DOUBLING))
