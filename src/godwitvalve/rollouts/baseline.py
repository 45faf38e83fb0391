"""Answers of a service before a roll-out order arrives."""

from __future__ import annotations

from godwitvalve.rollouts import outcome_counts

# Length of a counting period. A new version is compared with the answers of
# the current and the previous period.
PERIOD_S = 30.0


class Baseline:
    """Answers of a service in the current and the previous period."""

    def __init__(self) -> None:
        self._period = 0
        self._current = outcome_counts.OutcomeCounts(routes={})
        self._previous = outcome_counts.OutcomeCounts(routes={})

    def current(self, now_s: float) -> outcome_counts.OutcomeCounts:
        """Return the mutable counts of the current period."""
        period = int(now_s / PERIOD_S)
        if period != self._period:
            self._previous = (
                self._current
                if period == self._period + 1
                else outcome_counts.OutcomeCounts(routes={})
            )
            self._current = outcome_counts.OutcomeCounts(routes={})
            self._period = period
        return self._current

    def recent(self, now_s: float) -> outcome_counts.OutcomeCounts:
        """Return the answers of both periods, with sent requests set to 0."""
        summed = outcome_counts.total([self.current(now_s), self._previous])
        summed.sent = 0
        summed.sent_new = 0
        return summed
