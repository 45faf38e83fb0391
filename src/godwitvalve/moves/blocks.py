"""Blocks: requests of both versions, split alike, in a short time."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
from typing import NamedTuple

from godwitvalve.moves import evidence_rows
from godwitvalve.moves import latency_limits

# Events by kind and route; the route '' stands for the sum.
FAILED = 'failed'
SLOW = 'slow'
# A block needs requests of both versions to say anything. Two of each use
# most of what larger blocks would tell and lose little time.
_ENOUGH_OF_EACH = 2
_ENOUGH_IN_ALL = 20
_MAX_AGE_S = 60.0
# A new replica with more than this many times the usual requests of an old
# one is not compared for slowness: its load is not the same.
_MAX_LOAD_RATIO = 2
_LOAD_SLACK = 3


_LEAST_CLASS = evidence_rows.share_class(0.02)


class Kind(NamedTuple):
    """What is counted: failures or slow answers, on a route or in sum."""

    event: str
    route: str


class Suspect(NamedTuple):
    """An endpoint or a failure domain that may have its own trouble."""

    endpoint_id: str
    failure_domain: str


class Counts(NamedTuple):
    """Requests and events of both versions in a block."""

    new: int
    old: int
    new_events: int
    events: int


NOBODY = Suspect('', '')
_Place = Suspect
_Tally = collections.Counter[_Place]


@dataclasses.dataclass
class _Side:
    attempts: _Tally = dataclasses.field(default_factory=collections.Counter)
    timed: _Tally = dataclasses.field(default_factory=collections.Counter)
    events: dict[Kind, _Tally] = dataclasses.field(default_factory=dict)

    def add_events(
        self, event: str, route: str, place: _Place, count: int
    ) -> None:
        for kind in (Kind(event, ''), Kind(event, route)):
            tally = self.events.get(kind)
            if tally is None:
                tally = self.events[kind] = collections.Counter()
            tally[place] += count


@dataclasses.dataclass
class Block:
    """Requests that were given to the versions at about the same share.

    :param signs: number of signs that came before the block.
    :param usual_load: requests that an old replica would have had in the
        time of the block without the move.
    """

    share_class: int
    first_bucket: int
    signs: int = 0
    usual_load: float = 0.0
    new: _Side = dataclasses.field(default_factory=_Side)
    old: _Side = dataclasses.field(default_factory=_Side)

    def add(
        self,
        key: evidence_rows.CellKey,
        cell: evidence_rows.Cell,
        is_new: bool,
        limits: latency_limits.LatencyLimits,
    ) -> None:
        """Count the requests of a cell.

        Above a share of one half the old replicas have little load left,
        and between pulses the new ones have; slowness is not compared then.
        """
        side = self.new if is_new else self.old
        place = _Place(key.endpoint_id, key.failure_domain)
        side.attempts[place] += cell.attempts
        if cell.failures:
            side.add_events(FAILED, key.route, place, cell.failures)
        if not _LEAST_CLASS <= self.share_class <= 0:
            return
        slow = limits.slow_count(key.route, cell.times)
        if slow is None:
            return
        side.timed[place] += sum(count for _, count in cell.times)
        if slow:
            side.add_events(SLOW, key.route, place, slow)

    def is_full(self) -> bool:
        """Tell whether the block says enough to be closed."""
        new = max(self.new.attempts.total(), self.new.timed.total())
        old = max(self.old.attempts.total(), self.old.timed.total())
        if min(new, old) >= _ENOUGH_OF_EACH:
            return True
        return new > 0 and new + old >= _ENOUGH_IN_ALL

    def is_old(self, bucket: int) -> bool:
        """Tell whether the requests are too far apart to be compared."""
        age_s = (bucket - self.first_bucket) * evidence_rows.BUCKET_S
        return age_s >= _MAX_AGE_S

    def kinds(self) -> list[Kind]:
        """Return the kinds of events that occurred, if they compare."""
        if not self.new.attempts and not self.new.timed:
            return []
        if not self.old.attempts and not self.old.timed:
            return []
        return sorted(self.new.events.keys() | self.old.events.keys())

    def suspects(self, kind: Kind) -> set[Suspect]:
        """Return where the new version had events of a kind."""
        places = self.new.events.get(kind, collections.Counter())
        return {Suspect(place.endpoint_id, '') for place in places} | {
            Suspect('', place.failure_domain) for place in places
        }

    def counts(self, kind: Kind, left_out: Suspect = NOBODY) -> Counts:
        """Return what to compare, without one suspect."""
        loaded = self._overloaded() if kind.event == SLOW else set()

        def counts(place: _Place) -> bool:
            return (
                place.endpoint_id != left_out.endpoint_id
                and place.failure_domain != left_out.failure_domain
                and place not in loaded
            )

        chosen = None if left_out is NOBODY and not loaded else counts
        new, new_events = _sum(self.new, kind, chosen)
        old, old_events = _sum(self.old, kind, chosen)
        return Counts(new, old, new_events, new_events + old_events)

    def counts_in_domains(self, kind: Kind) -> list[Counts]:
        """Return what to compare within each failure domain with events."""
        domains = {
            place.failure_domain
            for side in (self.new, self.old)
            for place in side.events.get(kind, ())
        }
        loaded = self._overloaded() if kind.event == SLOW else set()
        found = []
        for domain in domains:

            def counts(place: _Place, domain: str = domain) -> bool:
                return place.failure_domain == domain and place not in loaded

            new, new_events = _sum(self.new, kind, counts)
            old, old_events = _sum(self.old, kind, counts)
            found.append(Counts(new, old, new_events, new_events + old_events))
        return found

    def _overloaded(self) -> set[_Place]:
        limit = _MAX_LOAD_RATIO * self.usual_load + _LOAD_SLACK
        return {e for e, n in self.new.attempts.items() if n > limit}


def _sum(
    side: _Side, kind: Kind, chosen: Callable[[_Place], bool] | None
) -> tuple[int, int]:
    population = side.timed if kind.event == SLOW else side.attempts
    events = side.events.get(kind, collections.Counter())
    if chosen is None:
        return population.total(), events.total()
    return (
        sum(n for place, n in population.items() if chosen(place)),
        sum(n for place, n in events.items() if chosen(place)),
    )
