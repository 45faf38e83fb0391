"""Limits how often the same condition is logged."""

from __future__ import annotations

from collections import abc

PERIOD_S = 60.0
# Bounds the lines of a period for conditions that other processes cause.
MAX_KEYS = 64


class RepeatFilter:
    """Admits one log line for each key and period, and so many keys.

    Load pattern: a row that cannot be decoded is read again with every
    change of the table, or several times a second.

    :param period_s: seconds after which a key is admitted again.
    :param max_keys: number of keys that are admitted within a period.
    """

    def __init__(
        self, period_s: float = PERIOD_S, max_keys: int = MAX_KEYS
    ) -> None:
        self._period_s = period_s
        self._max_keys = max_keys
        # In the order of their times.
        self._admitted_s: dict[abc.Hashable, float] = {}

    def admits(self, key: abc.Hashable, now_s: float) -> bool:
        """Tell whether to log a condition now.

        :param now_s: monotonic seconds.
        """
        while self._admitted_s:
            oldest = next(iter(self._admitted_s))
            if now_s - self._admitted_s[oldest] < self._period_s:
                break
            del self._admitted_s[oldest]
        if key in self._admitted_s or len(self._admitted_s) >= self._max_keys:
            return False
        self._admitted_s[key] = now_s
        return True
