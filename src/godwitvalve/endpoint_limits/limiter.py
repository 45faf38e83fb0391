"""Request limits that endpoints state, as one entry knows them."""

from __future__ import annotations

from collections import abc

from godwitvalve.endpoint_limits import change_log
from godwitvalve.endpoint_limits import reports
from godwitvalve.endpoint_limits import statements
from godwitvalve.endpoint_limits import table
from godwitvalve.fleet import endpoints


class EndpointLimiter:
    """Knows the limits of all endpoints.

    :param on_change: called when other entries should learn at once of a
        limit that an answer stated.
    """

    def __init__(
        self, on_change: abc.Callable[[], None] = lambda: None
    ) -> None:
        self.table = table.LimitTable()
        self._on_change = on_change
        self._change_log = change_log.ChangeLog()

    def observe(
        self,
        endpoint: endpoints.FleetEndpoint,
        statement: statements.LimitStatement,
        now_s: float,
    ) -> None:
        """Record what an answer states.

        :param now_s: monotonic seconds.
        """
        self._change_log.record_statement(endpoint, statement, now_s)
        change = self.table.observe(endpoint, statement, now_s)
        self._change_log.record(endpoint, change, '', now_s)
        if change.is_notable:
            self._on_change()

    def merge(
        self,
        origin: str,
        endpoint: endpoints.FleetEndpoint | None,
        report: reports.LimitReport,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Merge the report of another entry.

        :param endpoint: the endpoint as it is listed here; reports about
            others are ignored.
        :param sent_s: monotonic seconds at which the report was sent, by
            the clock of this entry.
        """
        if endpoint is None:
            return
        before_per_s = self.table.requests_per_s(endpoint)
        if self.table.merge(origin, report, sent_s):
            after_per_s = self.table.requests_per_s(endpoint)
            change = table.LimitChange(before_per_s, after_per_s)
            self._change_log.record(endpoint, change, origin, now_s)

    def keep_only(self, endpoint_ids: abc.Container[str]) -> None:
        """Drop what is known about endpoints that are gone."""
        self.table.keep_only(endpoint_ids)
        self._change_log.keep_only(endpoint_ids)
