"""Signs of a change in the new version's own record.

A sign proves nothing: it only lowers the share for a short time, so that
enough requests go to the old version to compare with.
"""

from __future__ import annotations

import collections
import math

from godwitvalve.moves import blocks
from godwitvalve.moves import evidence_rows

# Two or three failures close together raise a sign; see docs/moves.md.
_LIMIT = {blocks.FAILED: 5.0, blocks.SLOW: 6.0}
_MORE_IN_SUM = {blocks.FAILED: 0.1, blocks.SLOW: 0.5}
_MORE_ON_ROUTE = {blocks.FAILED: 0.06, blocks.SLOW: 0.08}
_LEAST_RATE = {blocks.FAILED: 0.003, blocks.SLOW: 0.02}
# Requests that the rate before the change is taken from.
_MEMORY = 1000
# A sign holds for this time and this many requests of the new version.
# Signs that go on without a proof, as in an outage of a dependency, are
# heeded for this time at most, unless there is evidence against the version.
# What was used comes back four times slower, and signs are heeded again once
# enough of it is back.
_SIGN_S = 30.0
_SIGN_REQUESTS = 40
_MOST_HEEDED_S = 300.0
_HEEDED_AGAIN_S = 60.0
_COMES_BACK = 0.25


class ChangeDetector:
    """Cumulative sum test of one kind of event (Page 1954).

    The rate before the change is the one seen so far, with old counts
    fading.

    :param before: requests without such an event that came before.
    """

    def __init__(self, kind: blocks.Kind, before: int) -> None:
        more = _MORE_ON_ROUTE if kind.route else _MORE_IN_SUM
        self._more = more[kind.event]
        self._least = _LEAST_RATE[kind.event]
        self._limit = _LIMIT[kind.event]
        self._events = 0.0
        self._total = 100.0 + min(before, _MEMORY)
        self._sum = 0.0

    def add(self, total: int, events: int) -> bool:
        """Add requests of the new version; tell whether there is a sign."""
        before = min(max(self._events / self._total, self._least), 0.9)
        after = min(before + self._more, 0.97)
        self._sum += events * math.log(after / before)
        self._sum += (total - events) * math.log((1 - after) / (1 - before))
        self._sum = max(self._sum, 0.0)
        self._events += events
        self._total += total
        if self._total > 2 * _MEMORY:
            self._events /= 2
            self._total /= 2
        if self._sum < self._limit:
            return False
        self._sum = 0.0
        return True


class Symptoms:
    """Signs of all kinds, and until when they are heeded.

    ``raised`` counts signs that came when none was heeded.
    """

    def __init__(self) -> None:
        self.raised = 0
        self._signs: dict[blocks.Kind, ChangeDetector] = {}
        self._before = 0
        self._last_s = -math.inf
        self._since = _SIGN_REQUESTS
        self._left_s = _MOST_HEEDED_S
        self._used_up = False
        self._doubted = False

    def add(
        self,
        total: int,
        events: collections.Counter[blocks.Kind],
        now_wall_s: float,
        doubted: bool,
    ) -> None:
        """Add requests of the new version in one bucket.

        Called for each bucket, also for one without requests.

        :param doubted: there is evidence against the version.
        """
        self._doubted = doubted
        for kind in events.keys() - self._signs.keys():
            self._signs[kind] = ChangeDetector(kind, self._before)
        self._use(now_wall_s)
        self._before += total
        self._since += total
        raised = False
        for kind, sign in self._signs.items():
            raised |= sign.add(total, min(events[kind], total))
        if raised:
            self._raise(now_wall_s)

    def _use(self, now_wall_s: float) -> None:
        if self.holds(now_wall_s):
            self._left_s -= evidence_rows.BUCKET_S
        else:
            back_s = self._left_s + _COMES_BACK * evidence_rows.BUCKET_S
            self._left_s = min(back_s, _MOST_HEEDED_S)
        if self._left_s <= 0:
            self._used_up = True
        elif self._left_s >= _HEEDED_AGAIN_S:
            self._used_up = False

    def _raise(self, now_wall_s: float) -> None:
        if not self.holds(now_wall_s):
            self.raised += 1
        self._last_s = now_wall_s
        self._since = 0

    def holds(self, now_wall_s: float) -> bool:
        """Tell whether a change was seen that is yet to be explained."""
        if self._used_up and not self._doubted:
            return False
        lately = now_wall_s < self._last_s + _SIGN_S
        return lately or self._since < _SIGN_REQUESTS
