"""Blocks of requests that were split at the same share in a short time."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
from typing import NamedTuple

from godwitvalve.moves import evidence_rows
from godwitvalve.moves import latency_limits

# Kinds of events.
FAILED = 'failed'
SLOW = 'slow'
# Only a block with requests of both versions is evidence. Two of each give
# most of the information of larger blocks, and give it early.
_MIN_REQUESTS_PER_VERSION = 2
_MIN_REQUESTS = 20
_MAX_AGE_S = 60.0
# Slowness is not compared on a new replica with more requests than this
# multiple of the usual load of an old one: a higher load alone makes it slow.
_MAX_LOAD_RATIO = 2
_LOAD_SLACK = 3


_MIN_SHARE_CLASS = evidence_rows.share_class(0.02)


class Kind(NamedTuple):
    """Kind of event that is counted: failures or slow answers.

    :param route: route of the requests, empty for all routes.
    """

    event: str
    route: str


class Suspect(NamedTuple):
    """An endpoint or a failure domain that may have a fault of its own.

    Of a suspect, the other field is empty.
    """

    endpoint_id: str
    failure_domain: str


class Counts(NamedTuple):
    """Requests and events of both versions in a block."""

    new: int
    old: int
    new_events: int
    events: int


NO_SUSPECT = Suspect('', '')
_Location = Suspect
_Tally = collections.Counter[_Location]


@dataclasses.dataclass
class _VersionCounts:
    attempts: _Tally = dataclasses.field(default_factory=collections.Counter)
    timed: _Tally = dataclasses.field(default_factory=collections.Counter)
    events: dict[Kind, _Tally] = dataclasses.field(default_factory=dict)

    def add_events(
        self, event: str, route: str, location: _Location, count: int
    ) -> None:
        for kind in (Kind(event, ''), Kind(event, route)):
            tally = self.events.get(kind)
            if tally is None:
                tally = self.events[kind] = collections.Counter()
            tally[location] += count


@dataclasses.dataclass
class Block:
    """Requests that were split between the versions at about the same share.

    :param symptoms: number of symptoms detected before the block.
    :param usual_load: requests that an old replica would have received
        during the block without the move.
    """

    share_class: int
    first_bucket: int
    symptoms: int = 0
    usual_load: float = 0.0
    new: _VersionCounts = dataclasses.field(default_factory=_VersionCounts)
    old: _VersionCounts = dataclasses.field(default_factory=_VersionCounts)

    def add(
        self,
        key: evidence_rows.CellKey,
        cell: evidence_rows.Cell,
        is_new: bool,
        limits: latency_limits.LatencyLimits,
    ) -> None:
        """Count the requests of a cell.

        Slowness is not compared at a share above one half, where the old
        replicas have little load, nor at the base share between pulses,
        where the new ones have little.
        """
        side = self.new if is_new else self.old
        location = _Location(key.endpoint_id, key.failure_domain)
        side.attempts[location] += cell.attempts
        if cell.failures:
            side.add_events(FAILED, key.route, location, cell.failures)
        if not _MIN_SHARE_CLASS <= self.share_class <= 0:
            return
        slow = limits.slow_count(key.route, cell.times)
        if slow is None:
            return
        side.timed[location] += sum(count for _, count in cell.times)
        if slow:
            side.add_events(SLOW, key.route, location, slow)

    def is_full(self) -> bool:
        """Return whether the block has enough requests to be closed."""
        new = max(self.new.attempts.total(), self.new.timed.total())
        old = max(self.old.attempts.total(), self.old.timed.total())
        if min(new, old) >= _MIN_REQUESTS_PER_VERSION:
            return True
        return new > 0 and new + old >= _MIN_REQUESTS

    def is_expired(self, bucket: int) -> bool:
        """Return whether later requests are too far apart to be compared."""
        age_s = (bucket - self.first_bucket) * evidence_rows.BUCKET_S
        return age_s >= _MAX_AGE_S

    def kinds(self) -> list[Kind]:
        """Return the kinds of events that occurred.

        The list is empty unless the block has requests of both versions.
        """
        if not self.new.attempts and not self.new.timed:
            return []
        if not self.old.attempts and not self.old.timed:
            return []
        return sorted(self.new.events.keys() | self.old.events.keys())

    def suspects(self, kind: Kind) -> set[Suspect]:
        """Return the endpoints and domains with events of the new version."""
        locations = self.new.events.get(kind, collections.Counter())
        return {
            Suspect(location.endpoint_id, '') for location in locations
        } | {Suspect('', location.failure_domain) for location in locations}

    def counts(self, kind: Kind, excluded: Suspect = NO_SUSPECT) -> Counts:
        """Return the counts to compare, without those of one suspect."""
        overloaded = self._overloaded() if kind.event == SLOW else set()

        def is_counted(location: _Location) -> bool:
            return (
                location.endpoint_id != excluded.endpoint_id
                and location.failure_domain != excluded.failure_domain
                and location not in overloaded
            )

        chosen = (
            None if excluded is NO_SUSPECT and not overloaded else is_counted
        )
        new, new_events = _sum(self.new, kind, chosen)
        old, old_events = _sum(self.old, kind, chosen)
        return Counts(new, old, new_events, new_events + old_events)

    def counts_in_domains(self, kind: Kind) -> list[Counts]:
        """Return the counts to compare in each failure domain with events."""
        domains = {
            location.failure_domain
            for side in (self.new, self.old)
            for location in side.events.get(kind, ())
        }
        overloaded = self._overloaded() if kind.event == SLOW else set()
        found = []
        for domain in domains:

            def is_counted(location: _Location, domain: str = domain) -> bool:
                return (
                    location.failure_domain == domain
                    and location not in overloaded
                )

            new, new_events = _sum(self.new, kind, is_counted)
            old, old_events = _sum(self.old, kind, is_counted)
            found.append(Counts(new, old, new_events, new_events + old_events))
        return found

    def _overloaded(self) -> set[_Location]:
        limit = _MAX_LOAD_RATIO * self.usual_load + _LOAD_SLACK
        return {e for e, n in self.new.attempts.items() if n > limit}


def _sum(
    side: _VersionCounts,
    kind: Kind,
    is_counted: Callable[[_Location], bool] | None,
) -> tuple[int, int]:
    population = side.timed if kind.event == SLOW else side.attempts
    events = side.events.get(kind, collections.Counter())
    if is_counted is None:
        return population.total(), events.total()
    return (
        sum(n for location, n in population.items() if is_counted(location)),
        sum(n for location, n in events.items() if is_counted(location)),
    )
