"""Compares the answers of a new version with those of the old one."""

from __future__ import annotations

import collections
from collections import abc
import enum
import math
from typing import NamedTuple

from godwitvalve.moves import betting
from godwitvalve.rollouts import outcome_counts

# Evidence that takes a version back at once; evidence that decides against
# it at the end of the time asked for; and evidence that keeps its share from
# growing until then, about one failure where the old version has none. By
# Markov's inequality a good version ends with 6 to 1 against it in at most
# 1 of 6 roll-outs.
ROLLBACK_EVIDENCE = 100.0
LATE_ROLLBACK_EVIDENCE = 6.0
HOLD_EVIDENCE = 1.5
# Odds ratios that are weighed: some failures more, and most requests failing.
_ODDS_RATIOS = (6.0, 80.0)
# A version that turns bad after a long good record is judged by this time.
_WINDOW_S = 10.0
# Endpoints that must share the blame if the version has several.
_MIN_FAILING_ENDPOINTS = 2


class Event(enum.Enum):
    """What may be worse in the new version."""

    FAILED = 'fails'
    SLOW = 'is slow'


# Parts by which evidence counts, those of routes divided among them: several
# comparisons find more by chance than one.
_TOTAL_WEIGHT = {Event.FAILED: 0.6, Event.SLOW: 0.4}
_ROUTES_WEIGHT = {Event.FAILED: 0.5, Event.SLOW: 0.3}


class _EventCounts(NamedTuple):
    new: int = 0
    old: int = 0
    new_events: int = 0
    old_events: int = 0

    def since(self, earlier: _EventCounts) -> _EventCounts:
        """Return what the new version did since a moment.

        The old version keeps its whole record: a quiet service has few
        requests in the window.
        """
        return self._replace(
            new=self.new - earlier.new,
            new_events=self.new_events - earlier.new_events,
        )

    def e_value(self) -> float:
        """Return the evidence that the events depend on the version.

        Given all events, those of the new version are hypergeometric if
        they do not; the value is a mixture of likelihood ratios.
        """
        new_events = min(self.new_events, self.new)
        events = new_events + min(self.old_events, self.old)
        return sum(
            math.exp(
                betting.log_e_value(
                    self.new, self.old, new_events, events, ratio
                )
            )
            for ratio in _ODDS_RATIOS
        ) / len(_ODDS_RATIOS)


def _event_counts(
    event: Event, counts: outcome_counts.RouteCounts
) -> _EventCounts:
    new, old = counts.new, counts.old
    match event:
        case Event.FAILED:
            return _EventCounts(new.ended, old.ended, new.failed, old.failed)
        case Event.SLOW:
            return _EventCounts(new.timed, old.timed, new.slow, old.slow)


class _Key(NamedTuple):
    event: Event
    # Empty for all routes together.
    route: str

    def describe(self) -> str:
        """Return what is wrong, for the log and operators."""
        where = f' on route {self.route}' if self.route else ''
        return f'the new version {self.event.value}{where}'


class _Snapshot(NamedTuple):
    elapsed_s: float
    counts: dict[_Key, _EventCounts]


class VersionComparison:
    """Compares both versions as their answers are counted.

    Load pattern: a version whose answers fail or come late for a part of
    the requests, from its start, after a while or on one route, among
    answers that fail at both versions alike. A quiet service has 20
    requests in the whole time.
    """

    def __init__(self) -> None:
        self._snapshots: collections.deque[_Snapshot] = collections.deque()
        self._evidence: dict[_Key, float] = {}
        self._failing_endpoints = 0

    def update(
        self, counts: outcome_counts.OutcomeCounts, elapsed_s: float
    ) -> None:
        """Take the counts of all entries.

        :param elapsed_s: seconds since the order.
        """
        self._failing_endpoints = len(counts.failing)
        by_route = {
            '': outcome_counts.sum_routes(counts.routes),
            **counts.routes,
        }
        snapshot = _Snapshot(
            elapsed_s,
            {
                _Key(event, route): _event_counts(event, route_counts)
                for event in Event
                for route, route_counts in by_route.items()
            },
        )
        while (
            self._snapshots
            and self._snapshots[0].elapsed_s < elapsed_s - _WINDOW_S
        ):
            self._snapshots.popleft()
        earlier = self._snapshots[0] if self._snapshots else snapshot
        self._snapshots.append(snapshot)
        self._evidence = dict(
            self._weigh(snapshot, earlier, len(counts.routes))
        )

    @staticmethod
    def _weigh(
        snapshot: _Snapshot, earlier: _Snapshot, routes: int
    ) -> abc.Iterator[tuple[_Key, float]]:
        """Yield the evidence by what is counted."""
        for key, counts in snapshot.counts.items():
            recent = counts.since(earlier.counts.get(key, _EventCounts()))
            e_value = (counts.e_value() + recent.e_value()) / 2
            if key.route:
                yield key, e_value * _ROUTES_WEIGHT[key.event] / routes
            else:
                yield key, e_value * _TOTAL_WEIGHT[key.event]

    def max_evidence(self) -> float:
        """Return the strongest evidence against the new version."""
        return max(self._evidence.values(), default=1.0)

    def failure_reason(self, new_endpoints: int) -> str | None:
        """Return what is wrong with the new version, if that is proved.

        :param new_endpoints: endpoints of the new version.
        """
        if self._failing_endpoints < min(
            _MIN_FAILING_ENDPOINTS, max(new_endpoints, 1)
        ):
            return None
        key = max(self._evidence, key=self._evidence.__getitem__, default=None)
        if key is None or self._evidence[key] < ROLLBACK_EVIDENCE:
            return None
        value = self._evidence[key]
        return f'{key.describe()} (evidence {value:.0f} to 1)'
