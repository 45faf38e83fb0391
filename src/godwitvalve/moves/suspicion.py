"""Quick signs of a change in the new version's own record.

A sign proves nothing: it only lowers the share for a short time, so that
enough requests go to the old version to compare with.
"""

from __future__ import annotations

import math

from godwitvalve.moves import blocks

# Two or three failures close together raise a sign; see docs/moves.md.
_LIMIT = 6.0
_MORE_IN_SUM = {blocks.FAILED: 0.1, blocks.SLOW: 0.3}
_MORE_ON_ROUTE = {blocks.FAILED: 0.06, blocks.SLOW: 0.08}
_LEAST_RATE = {blocks.FAILED: 0.003, blocks.SLOW: 0.02}


class ChangeSign:
    """Cumulative sum test of one kind of event (Page 1954).

    The rate before the change is the one seen so far, with old counts
    fading.
    """

    def __init__(self, kind: blocks.Kind) -> None:
        more = _MORE_ON_ROUTE if kind.route else _MORE_IN_SUM
        self._more = more[kind.event]
        self._least = _LEAST_RATE[kind.event]
        self._events = 0.0
        self._total = 100.0
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
        if self._total > 2000:
            self._events /= 2
            self._total /= 2
        if self._sum < _LIMIT:
            return False
        self._sum = 0.0
        return True
