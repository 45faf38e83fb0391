"""Statistical comparison of a new version with the old one."""

from __future__ import annotations

import collections
from collections import abc
import enum
import math
from typing import NamedTuple

from godwitvalve.moves import betting
from godwitvalve.rollouts import outcome_counts

# Evidence (e-value) against the new version that rolls it back at once.
ROLLBACK_EVIDENCE = 100.0
# Evidence that rolls it back near the end of the ordered duration. By
# Markov's inequality a good version ends with an e-value of 6 or more in at
# most 1 of 6 roll-outs.
LATE_ROLLBACK_EVIDENCE = 6.0
# Evidence that stops the share from growing until then: about one failure
# where the old version has none.
HOLD_EVIDENCE = 1.5
# Odds ratios of the alternatives: somewhat more failures, and failures of
# most requests.
_ODDS_RATIOS = (6.0, 80.0)
# Answers of the new version within this window are also compared alone, so
# that a long good record does not hide a version that turns bad late.
_WINDOW_S = 10.0
# Endpoints that must have failed if the version has several: a single one
# may have a fault of its own.
_MIN_FAILING_ENDPOINTS = 2


class Event(enum.Enum):
    """Kinds of bad outcome that are compared."""

    FAILED = 'fails'
    SLOW = 'is slow'


# Weights of the comparisons, those of the routes divided among the routes:
# several comparisons find more differences by chance than one.
_TOTAL_WEIGHT = {Event.FAILED: 0.6, Event.SLOW: 0.4}
_ROUTES_WEIGHT = {Event.FAILED: 0.5, Event.SLOW: 0.3}


class _EventCounts(NamedTuple):
    """Answers of both versions and the bad events among them."""

    new: int = 0
    old: int = 0
    new_events: int = 0
    old_events: int = 0

    def since(self, earlier: _EventCounts) -> _EventCounts:
        """Subtract earlier counts of the new version only.

        The old version keeps all its counts, as a service with little
        traffic has few requests in the window.
        """
        return self._replace(
            new=self.new - earlier.new,
            new_events=self.new_events - earlier.new_events,
        )

    def e_value(self) -> float:
        """Return the evidence that the events depend on the version.

        If they do not, the number of events at the new version is
        hypergeometric, given all events. The e-value is a mixture of
        likelihood ratios against that distribution.
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


class _Criterion(NamedTuple):
    event: Event
    # Empty for the sum of all routes.
    route: str

    def describe(self) -> str:
        """Return a description of the fault for logs and operators."""
        where = f' on route {self.route}' if self.route else ''
        return f'the new version {self.event.value}{where}'


class _Snapshot(NamedTuple):
    elapsed_s: float
    counts: dict[_Criterion, _EventCounts]


class VersionComparison:
    """Accumulates evidence against the new version during a roll-out.

    Load pattern: a version that fails or is slow for a part of the
    requests, from its start, after a while or on one route, while some
    answers fail at both versions alike. A service with little traffic has
    20 requests in the whole roll-out.
    """

    def __init__(self) -> None:
        self._snapshots: collections.deque[_Snapshot] = collections.deque()
        self._evidence: dict[_Criterion, float] = {}
        self._failing_endpoints = 0

    def update(
        self, counts: outcome_counts.OutcomeCounts, elapsed_s: float
    ) -> None:
        """Compare the versions anew from the counts of all entries.

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
                _Criterion(event, route): _event_counts(event, route_counts)
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
    ) -> abc.Iterator[tuple[_Criterion, float]]:
        """Yield the weighted evidence of each criterion."""
        for criterion, counts in snapshot.counts.items():
            recent = counts.since(
                earlier.counts.get(criterion, _EventCounts())
            )
            e_value = (counts.e_value() + recent.e_value()) / 2
            if criterion.route:
                yield (
                    criterion,
                    e_value * _ROUTES_WEIGHT[criterion.event] / routes,
                )
            else:
                yield criterion, e_value * _TOTAL_WEIGHT[criterion.event]

    def max_evidence(self) -> float:
        """Return the strongest evidence against the new version."""
        return max(self._evidence.values(), default=1.0)

    def failure_reason(self, new_endpoints: int) -> str | None:
        """Return why the new version must be rolled back at once, or None.

        :param new_endpoints: number of endpoints of the new version.
        """
        if self._failing_endpoints < min(
            _MIN_FAILING_ENDPOINTS, max(new_endpoints, 1)
        ):
            return None
        worst = max(
            self._evidence, key=self._evidence.__getitem__, default=None
        )
        if worst is None or self._evidence[worst] < ROLLBACK_EVIDENCE:
            return None
        value = self._evidence[worst]
        return f'{worst.describe()} (evidence {value:.0f} to 1)'
