"""What the version of a service did before an order."""

from __future__ import annotations

from godwitvalve.rollouts import outcome_counts

# Answers are kept by periods of this length; an order is compared with the
# present and the last one.
PERIOD_S = 30.0


class Baseline:
    """Answers of a service in the last periods."""

    def __init__(self) -> None:
        self._period = 0
        self._current = outcome_counts.OutcomeCounts(routes={})
        self._last = outcome_counts.OutcomeCounts(routes={})

    def current(self, now_s: float) -> outcome_counts.OutcomeCounts:
        """Return the counts of the present period, to be changed."""
        period = int(now_s / PERIOD_S)
        if period != self._period:
            self._last = (
                self._current
                if period == self._period + 1
                else outcome_counts.OutcomeCounts(routes={})
            )
            self._current = outcome_counts.OutcomeCounts(routes={})
            self._period = period
        return self._current

    def recent(self, now_s: float) -> outcome_counts.OutcomeCounts:
        """Return the counts of answers; sends start anew."""
        summed = outcome_counts.total([self.current(now_s), self._last])
        summed.sent = 0
        summed.sent_new = 0
        return summed
