"""Symptoms of a change in the event rates of the new version.

A symptom is no evidence against the version. It lowers the share for a short
time, so that the old version receives enough requests to compare with.
"""

from __future__ import annotations

import collections
import math

from godwitvalve.moves import blocks
from godwitvalve.moves import evidence_rows

# Two or three failures close together are a symptom; see docs/moves.md.
_LIMIT = {blocks.FAILED: 5.0, blocks.SLOW: 6.0}
_INCREASE_IN_TOTAL = {blocks.FAILED: 0.1, blocks.SLOW: 0.5}
_INCREASE_ON_ROUTE = {blocks.FAILED: 0.06, blocks.SLOW: 0.08}
_MIN_RATE = {blocks.FAILED: 0.003, blocks.SLOW: 0.02}
# Number of requests from which the rate before a change is estimated.
_BASELINE_REQUESTS = 1000
# A symptom is active for this time and this many requests of the new version.
# Symptoms that continue without conclusive evidence, as in an outage of a
# dependency, are active within a time budget only, unless there is evidence
# against the version. The budget refills four times more slowly than it is
# used, and symptoms are active again once enough of it is available.
_SYMPTOM_S = 30.0
_SYMPTOM_REQUESTS = 40
_MAX_BUDGET_S = 300.0
_REENABLE_BUDGET_S = 60.0
_REFILL_RATE = 0.25


class ChangeDetector:
    """Cumulative sum test (CUSUM, Page 1954) of one kind of event.

    The rate before the change is estimated from earlier requests, with
    older counts discounted.

    :param before: number of earlier requests, all without such an event.
    """

    def __init__(self, kind: blocks.Kind, before: int) -> None:
        increases = _INCREASE_ON_ROUTE if kind.route else _INCREASE_IN_TOTAL
        self._increase = increases[kind.event]
        self._min_rate = _MIN_RATE[kind.event]
        self._limit = _LIMIT[kind.event]
        self._events = 0.0
        self._total = 100.0 + min(before, _BASELINE_REQUESTS)
        self._sum = 0.0

    def add(self, total: int, events: int) -> bool:
        """Add requests of the new version; return if this is a symptom."""
        before = min(max(self._events / self._total, self._min_rate), 0.9)
        after = min(before + self._increase, 0.97)
        self._sum += events * math.log(after / before)
        self._sum += (total - events) * math.log((1 - after) / (1 - before))
        self._sum = max(self._sum, 0.0)
        self._events += events
        self._total += total
        if self._total > 2 * _BASELINE_REQUESTS:
            self._events /= 2
            self._total /= 2
        if self._sum < self._limit:
            return False
        self._sum = 0.0
        return True


class Symptoms:
    """Symptoms of all kinds, and whether one is active.

    ``raised`` counts the symptoms detected while none was active.
    """

    def __init__(self) -> None:
        self.raised = 0
        self._detectors: dict[blocks.Kind, ChangeDetector] = {}
        self._requests_before = 0
        self._last_wall_s = -math.inf
        self._requests_since = _SYMPTOM_REQUESTS
        self._budget_s = _MAX_BUDGET_S
        self._budget_exhausted = False
        self._suspected = False

    def add(
        self,
        total: int,
        events: collections.Counter[blocks.Kind],
        now_wall_s: float,
        suspected: bool,
    ) -> None:
        """Add the requests of the new version in one bucket.

        Called for every bucket, including those without requests.

        :param suspected: there is evidence against the version.
        """
        self._suspected = suspected
        for kind in events.keys() - self._detectors.keys():
            self._detectors[kind] = ChangeDetector(kind, self._requests_before)
        self._update_budget(now_wall_s)
        self._requests_before += total
        self._requests_since += total
        raised = False
        for kind, detector in self._detectors.items():
            raised |= detector.add(total, min(events[kind], total))
        if raised:
            self._raise(now_wall_s)

    def _update_budget(self, now_wall_s: float) -> None:
        if self.is_active(now_wall_s):
            self._budget_s -= evidence_rows.BUCKET_S
        else:
            refilled_s = self._budget_s + _REFILL_RATE * evidence_rows.BUCKET_S
            self._budget_s = min(refilled_s, _MAX_BUDGET_S)
        if self._budget_s <= 0:
            self._budget_exhausted = True
        elif self._budget_s >= _REENABLE_BUDGET_S:
            self._budget_exhausted = False

    def _raise(self, now_wall_s: float) -> None:
        if not self.is_active(now_wall_s):
            self.raised += 1
        self._last_wall_s = now_wall_s
        self._requests_since = 0

    def is_active(self, now_wall_s: float) -> bool:
        """Return whether a detected change is still to be examined."""
        if self._budget_exhausted and not self._suspected:
            return False
        is_recent = now_wall_s < self._last_wall_s + _SYMPTOM_S
        return is_recent or self._requests_since < _SYMPTOM_REQUESTS
