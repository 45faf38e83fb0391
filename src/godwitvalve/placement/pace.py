"""Momentary pace of endpoints whose machines are shared with others."""

from __future__ import annotations

from typing import NamedTuple

# The pace of a machine changes after about this time, so that an older
# report says nothing about it any more.
PACE_VALID_S = 0.6
USUAL_PACE = 1.0


class _PaceReport(NamedTuple):
    pace: float
    reported_s: float


class PaceTable:
    """How long work takes at endpoints now, as they state it.

    Load pattern: endpoints share their machines with others, and work takes
    2.5 times as long there in some spans of half a second. Endpoints of
    services on machines of their own state no pace.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _PaceReport] = {}
        self._services: set[str] = set()

    def record(
        self, service: str, endpoint_id: str, pace: float, now_s: float
    ) -> None:
        """Record a pace that an endpoint stated.

        :param pace: 1.0 as usual; 2.0 if work takes twice as long.
        :param now_s: monotonic seconds.
        """
        self._services.add(service)
        self._reports[endpoint_id] = _PaceReport(pace, now_s)

    def record_service(self, service: str) -> None:
        """Record that endpoints of a service state their pace elsewhere."""
        self._services.add(service)

    def is_stated(self, service: str) -> bool:
        """Return whether any endpoint of a service states its pace."""
        return service in self._services

    def is_any_stated(self) -> bool:
        """Return whether any endpoint of any service states its pace."""
        return bool(self._services)

    def pace(self, endpoint_id: str, now_s: float) -> float:
        """Return the present pace; the weight of a report falls with age."""
        report = self._reports.get(endpoint_id)
        if report is None:
            return USUAL_PACE
        age_s = now_s - report.reported_s
        weight = max(1.0 - age_s / PACE_VALID_S, 0.0)
        return USUAL_PACE + weight * (report.pace - USUAL_PACE)

    def forget(self, endpoint_id: str) -> None:
        """Drop the report of a removed endpoint."""
        self._reports.pop(endpoint_id, None)

    def expire(self, now_s: float) -> None:
        """Drop reports without weight.

        An answer may arrive after its endpoint was removed, and endpoints
        that restart have new ids.
        """
        self._reports = {
            endpoint_id: report
            for endpoint_id, report in self._reports.items()
            if now_s - report.reported_s < PACE_VALID_S
        }
