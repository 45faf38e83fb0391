"""Blocks: requests of both versions in one domain and a short time."""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

from godwitvalve.moves import evidence
from godwitvalve.moves import pace

# Events by kind and route; the route '' stands for the sum.
FAILED = 'failed'
SLOW = 'slow'
# A block needs requests of both versions to say anything. Two of each use
# most of what larger blocks would tell and lose little time.
_ENOUGH_OF_EACH = 2
_ENOUGH_IN_ALL = 20
_MAX_AGE_S = 60.0
# A new replica with more than this many times the requests of the busiest
# old one is not compared for slowness: its load is not the same.
_MAX_LOAD_RATIO = 2
_LOAD_SLACK = 3


class Kind(NamedTuple):
    """What is counted: failures or slow answers, on a route or in sum."""

    event: str
    route: str


class Counts(NamedTuple):
    """Requests and events of both versions in a block."""

    new: int
    old: int
    new_events: int
    events: int


@dataclasses.dataclass
class _Side:
    attempts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    timed: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    events: dict[Kind, collections.Counter[str]] = dataclasses.field(
        default_factory=dict
    )

    def add_events(self, kind: Kind, endpoint_id: str, count: int) -> None:
        if count:
            self.events.setdefault(kind, collections.Counter())
            self.events[kind][endpoint_id] += count


@dataclasses.dataclass
class Block:
    """Requests of one failure domain while the share stayed the same."""

    failure_domain: str
    share: float
    first_bucket: int
    new: _Side = dataclasses.field(default_factory=_Side)
    old: _Side = dataclasses.field(default_factory=_Side)

    def add(
        self,
        key: evidence.CellKey,
        cell: evidence.Cell,
        is_new: bool,
        limits: pace.PaceLimits,
    ) -> None:
        """Count the requests of a cell."""
        side = self.new if is_new else self.old
        endpoint_id = key.endpoint_id
        side.attempts[endpoint_id] += cell.attempts
        for route in ('', key.route):
            side.add_events(Kind(FAILED, route), endpoint_id, cell.failures)
        slow = limits.slow_count(key.route, cell.times)
        if slow is None:
            return
        side.timed[endpoint_id] += sum(count for _, count in cell.times)
        for route in ('', key.route):
            side.add_events(Kind(SLOW, route), endpoint_id, slow)

    def is_full(self) -> bool:
        """Tell whether the block says enough to be closed."""
        new = self.new.attempts.total()
        old = self.old.attempts.total()
        if min(new, old) >= _ENOUGH_OF_EACH:
            return True
        return new > 0 and new + old >= _ENOUGH_IN_ALL

    def is_old(self, bucket: int) -> bool:
        """Tell whether the requests are too far apart to be compared."""
        age_s = (bucket - self.first_bucket) * evidence.BUCKET_S
        return age_s >= _MAX_AGE_S

    def kinds(self) -> list[Kind]:
        """Return the kinds of events that occurred."""
        return sorted(self.new.events.keys() | self.old.events.keys())

    def endpoints_with(self, kind: Kind) -> set[str]:
        """Return the new version's endpoints where events occurred."""
        return set(self.new.events.get(kind, ()))

    def counts(self, kind: Kind, left_out: str = '') -> Counts:
        """Return what to compare, without one endpoint if one is named."""
        loaded = self._overloaded() if kind.event == SLOW else set()
        ignored = loaded | {left_out}
        new, new_events = _sum(self.new, kind, ignored)
        old, old_events = _sum(self.old, kind, ignored)
        return Counts(new, old, new_events, new_events + old_events)

    def _overloaded(self) -> set[str]:
        busiest = max(self.old.attempts.values(), default=0)
        limit = _MAX_LOAD_RATIO * busiest + _LOAD_SLACK
        return {e for e, n in self.new.attempts.items() if n > limit}


def _sum(side: _Side, kind: Kind, ignored: set[str]) -> tuple[int, int]:
    population = side.timed if kind.event == SLOW else side.attempts
    events = side.events.get(kind, collections.Counter())
    return (
        sum(n for e, n in population.items() if e not in ignored),
        sum(n for e, n in events.items() if e not in ignored),
    )
