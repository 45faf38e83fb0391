"""Counts of request outcomes of the old and the new version."""

from __future__ import annotations

from collections import abc

import msgspec

# Failing endpoints named in one report. Two are enough to rule out a fault
# of a single endpoint.
MAX_FAILING_REPORTED = 4


class VersionCounts(msgspec.Struct, array_like=True):
    """Answers of one version on one route.

    :param ended: answers that succeeded or failed.
    :param timed: answers known to be either in time or slow.
    """

    ended: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0

    def add(self, other: VersionCounts) -> None:
        """Add the counts of another entry, period or route."""
        self.ended += other.ended
        self.failed += other.failed
        self.timed += other.timed
        self.slow += other.slow


class RouteCounts(msgspec.Struct, array_like=True):
    """Answers of the new and the old version on one route."""

    new: VersionCounts = msgspec.field(default_factory=VersionCounts)
    old: VersionCounts = msgspec.field(default_factory=VersionCounts)

    def add(self, other: RouteCounts) -> None:
        """Add the counts of another entry, period or route."""
        self.new.add(other.new)
        self.old.add(other.old)


class OutcomeCounts(msgspec.Struct, array_like=True):
    """Outcomes that one entry counted for one order; counts only grow.

    :param sent_new: requests sent to the new version.
    :param sent: requests sent to either version.
    :param failing: ids of endpoints of the new version with failed or slow
        answers.
    """

    sent_new: int = 0
    sent: int = 0
    routes: dict[str, RouteCounts] = {}
    failing: list[str] = []

    def for_version(self, route: str, is_new: bool) -> VersionCounts:
        """Return the mutable counts of a version on a route."""
        counts = self.routes.setdefault(route, RouteCounts())
        return counts.new if is_new else counts.old

    def add_failing(self, endpoint_id: str) -> None:
        """Add an endpoint of the new version that failed or was slow."""
        if len(self.failing) < MAX_FAILING_REPORTED:
            if endpoint_id not in self.failing:
                self.failing.append(endpoint_id)


def total(counted: abc.Iterable[OutcomeCounts]) -> OutcomeCounts:
    """Add up the counts of several entries or periods."""
    summed = OutcomeCounts(routes={})
    failing: set[str] = set()
    for each in counted:
        summed.sent_new += each.sent_new
        summed.sent += each.sent
        failing.update(each.failing)
        for route, counts in each.routes.items():
            summed.routes.setdefault(route, RouteCounts()).add(counts)
    summed.failing = sorted(failing)
    return summed


def sum_routes(routes: abc.Mapping[str, RouteCounts]) -> RouteCounts:
    """Return the counts of all routes together."""
    summed = RouteCounts()
    for counts in routes.values():
        summed.add(counts)
    return summed
