"""Newest known request limit of each endpoint; no input or output."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

from godwitvalve.endpoint_limits import reports
from godwitvalve.endpoint_limits import statements
from godwitvalve.fleet import endpoints

# Lower limits count as this one. An entry learns from answers only that a
# limit has ended, so some requests have to be sent even at a limit of 0.
MIN_REQUESTS_PER_S = 0.1
# Higher limits count as none: the whole fleet is built for 7,300 requests a
# second.
MAX_REQUESTS_PER_S = 10_000.0
# How long the end of a limit is reported. Reports reach 99 % of a large
# fleet within 2.5 s.
END_REPORT_S = 10.0
# Limits that differ by less than this factor are not reported at once and
# not logged.
NOTABLE_FACTOR = 1.25
# Bounds the reports in a heartbeat to a fifth of a datagram. The newest are
# sent first, and each answer of an endpoint renews its report.
MAX_REPORTS = 8


class Observation(NamedTuple):
    """A limit as stated in an answer.

    :param requests_per_s: None if no limit was stated.
    :param observed_s: monotonic seconds of the answer.
    :param origin: entry that got the answer; empty for this one.
    """

    started_wall_ms: int
    requests_per_s: float | None
    observed_s: float
    origin: str


class LimitChange(NamedTuple):
    """Limits of an endpoint before and after an observation."""

    before_per_s: float | None
    after_per_s: float | None

    @property
    def is_notable(self) -> bool:
        """Tell whether other entries should learn of it at once."""
        before, after = self
        if before is None or after is None:
            return before is not after
        return max(before, after) > min(before, after) * NOTABLE_FACTOR


def _effective(requests_per_s: float) -> float | None:
    if requests_per_s > MAX_REQUESTS_PER_S:
        return None
    return max(requests_per_s, MIN_REQUESTS_PER_S)


class LimitTable:
    """Newest observation of each endpoint, of this entry or another.

    Reports are ordered by the time of the answer. Of one entry the last
    report always counts: after a freeze an entry reads seconds of reports
    at once and takes each of them for a new one. An entry reports only
    what it was answered itself, so that a misjudged age does not spread.
    """

    def __init__(self) -> None:
        self._observations: dict[str, Observation] = {}
        self._limited: set[str] = set()
        # When a limit ended, or was last reported after it had ended.
        self._ended_s: dict[str, float] = {}

    def observe(
        self,
        endpoint: endpoints.FleetEndpoint,
        statement: statements.LimitStatement,
        now_s: float,
    ) -> LimitChange:
        """Record what an answer to this entry states."""
        before = self.requests_per_s(endpoint)
        after: float | None
        match statement:
            case statements.Unlimited():
                after = None
            case statements.Limited(requests_per_s):
                after = _effective(requests_per_s)
            case statements.Unreadable():
                # The endpoint still has a limit, if it had one.
                after = before
        self._store(
            endpoint.endpoint_id,
            Observation(endpoint.started_wall_ms, after, now_s, ''),
        )
        if before is not None and after is None:
            self._ended_s[endpoint.endpoint_id] = now_s
        return LimitChange(before, after)

    def merge(
        self, origin: str, report: reports.LimitReport, received_s: float
    ) -> bool:
        """Merge a report of another entry; tell whether it is newer.

        :param received_s: monotonic seconds at which the report was sent,
            by the clock of this entry.
        """
        known = self._observations.get(report.endpoint_id)
        observed_s = received_s - report.age_ms / 1000
        if known is not None:
            if report.started_wall_ms < known.started_wall_ms:
                return False
            if (
                report.started_wall_ms == known.started_wall_ms
                and origin != known.origin
                and observed_s <= known.observed_s
            ):
                if known.requests_per_s is None:
                    self._ended_s[report.endpoint_id] = received_s
                return False
        after = report.requests_per_s
        self._store(
            report.endpoint_id,
            Observation(
                report.started_wall_ms,
                None if after is None else _effective(after),
                observed_s,
                origin,
            ),
        )
        return True

    def _store(self, endpoint_id: str, observation: Observation) -> None:
        self._observations[endpoint_id] = observation
        if observation.requests_per_s is None:
            self._limited.discard(endpoint_id)
        else:
            self._limited.add(endpoint_id)

    def observation(
        self, endpoint: endpoints.FleetEndpoint
    ) -> Observation | None:
        """Return the observation of this incarnation, if there is one."""
        known = self._observations.get(endpoint.endpoint_id)
        if known and known.started_wall_ms == endpoint.started_wall_ms:
            return known
        return None

    def requests_per_s(
        self, endpoint: endpoints.FleetEndpoint
    ) -> float | None:
        """Return the limit of an endpoint; None if it has none."""
        return self.known_limit(endpoint.endpoint_id, endpoint.started_wall_ms)

    def known_limit(
        self, endpoint_id: str, started_wall_ms: int
    ) -> float | None:
        """Return the limit of an incarnation; None if it has none."""
        known = self._observations.get(endpoint_id)
        if known is None or known.started_wall_ms != started_wall_ms:
            return None
        return known.requests_per_s

    def reports(self, now_s: float) -> list[reports.LimitReport]:
        """Return own observations that no other entry's has replaced."""
        own = [
            (known.observed_s, endpoint_id, known)
            for endpoint_id, known in self._observations.items()
            if not known.origin
            and (
                known.requests_per_s is not None
                or now_s - self._ended_s.get(endpoint_id, float('-inf'))
                < END_REPORT_S
            )
        ]
        return [
            reports.LimitReport(
                endpoint_id,
                known.started_wall_ms,
                known.requests_per_s,
                max(int((now_s - observed_s) * 1000), 0),
            )
            for observed_s, endpoint_id, known in sorted(own, reverse=True)[
                :MAX_REPORTS
            ]
        ]

    def limited_count(self) -> int:
        """Return the number of endpoints with a limit."""
        return len(self._limited)

    def keep_only(self, endpoint_ids: abc.Container[str]) -> None:
        """Drop the observations of endpoints that are gone."""
        for endpoint_id in [
            each for each in self._observations if each not in endpoint_ids
        ]:
            del self._observations[endpoint_id]
            self._ended_s.pop(endpoint_id, None)
            self._limited.discard(endpoint_id)
