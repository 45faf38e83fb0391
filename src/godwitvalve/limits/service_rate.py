"""Measured rate at which admitted work is finished."""

from __future__ import annotations

import math

# About the duration of a short generation; a change of the rate shows
# within a few of them.
SMOOTHING_S = 5.0
# With less busy time the measured rate is unreliable.
MIN_BUSY_S = 0.5


class ServiceRate:
    """Finished tokens per second of busy time, smoothed."""

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._busy_s = 0.0
        self._busy_since_s: float | None = None
        self._now_s = now_s

    def set_busy(self, busy: bool, now_s: float) -> None:
        """Start or stop measuring."""
        self._advance(now_s)
        self._busy_since_s = now_s if busy else None

    def record_finished(self, tokens: float, now_s: float) -> None:
        """Count finished tokens while all slots are in use."""
        self._advance(now_s)
        if self._busy_since_s is not None:
            self._tokens += tokens

    def tokens_per_s(self, now_s: float) -> float | None:
        """Return the rate, or None before ``MIN_BUSY_S`` of busy time."""
        self._advance(now_s)
        if self._busy_s < MIN_BUSY_S or self._tokens <= 0:
            return None
        return self._tokens / self._busy_s

    def _advance(self, now_s: float) -> None:
        if self._busy_since_s is not None:
            elapsed_s = max(0.0, now_s - self._busy_since_s)
            decay = math.exp(-elapsed_s / SMOOTHING_S)
            self._tokens *= decay
            self._busy_s = self._busy_s * decay + elapsed_s
            self._busy_since_s = now_s
        self._now_s = now_s
