"""Logs the limits of endpoints, at a bounded rate."""

from __future__ import annotations

from collections import abc

from godwitvalve.endpoint_limits import statements
from godwitvalve.endpoint_limits import table
from godwitvalve.fleet import endpoints
from godwitvalve.logs import setup as logs

# An endpoint may state another limit in each answer.
CHANGE_PERIOD_S = 1.0
INVALID_PERIOD_S = 60.0

_LOG = logs.get('endpoint_limits')


def _is_due(
    logged_s: dict[str, float],
    endpoint_id: str,
    period_s: float,
    now_s: float,
) -> bool:
    """Tell whether a line about an endpoint may be logged, and record it."""
    if now_s - logged_s.get(endpoint_id, float('-inf')) < period_s:
        return False
    logged_s[endpoint_id] = now_s
    return True


class ChangeLog:
    """Logs changes of limits and invalid ones, by endpoint."""

    def __init__(self) -> None:
        self._changes_s: dict[str, float] = {}
        self._invalid_s: dict[str, float] = {}

    def record(
        self,
        endpoint: endpoints.FleetEndpoint,
        change: table.LimitChange,
        origin: str,
        now_s: float,
    ) -> None:
        """Log a notable change.

        :param origin: entry that reported it; empty for an answer to this
            entry.
        """
        if not change.is_notable or not _is_due(
            self._changes_s, endpoint.endpoint_id, CHANGE_PERIOD_S, now_s
        ):
            return
        _LOG.info(
            'The request limit of an endpoint changed.',
            extra={
                'endpoint_id': endpoint.endpoint_id,
                'started_wall_ms': endpoint.started_wall_ms,
                'before_per_s': change.before_per_s,
                'after_per_s': change.after_per_s,
                'reported_by': origin,
            },
        )

    def record_statement(
        self,
        endpoint: endpoints.FleetEndpoint,
        statement: statements.LimitStatement,
        now_s: float,
    ) -> None:
        """Log a limit that is not used as it was stated."""
        match statement:
            case statements.Unreadable(text):
                self._warn(endpoint, text, 'kept the last one', now_s)
            case statements.Limited(requests_per_s) if (
                requests_per_s < table.MIN_REQUESTS_PER_S
            ):
                used = f'{table.MIN_REQUESTS_PER_S} requests/s'
                self._warn(endpoint, str(requests_per_s), used, now_s)
            case statements.Limited(requests_per_s) if (
                requests_per_s > table.MAX_REQUESTS_PER_S
            ):
                self._warn(endpoint, str(requests_per_s), 'none', now_s)
            case _:
                pass

    def _warn(
        self,
        endpoint: endpoints.FleetEndpoint,
        stated: str,
        used: str,
        now_s: float,
    ) -> None:
        if not _is_due(
            self._invalid_s, endpoint.endpoint_id, INVALID_PERIOD_S, now_s
        ):
            return
        _LOG.warning(
            'An endpoint stated an unusable request limit.',
            extra={
                'endpoint_id': endpoint.endpoint_id,
                'stated': stated,
                'used': used,
            },
        )

    def keep_only(self, endpoint_ids: abc.Container[str]) -> None:
        """Drop the times of endpoints that are gone."""
        for times_s in (self._changes_s, self._invalid_s):
            for endpoint_id in [
                each for each in times_s if each not in endpoint_ids
            ]:
                del times_s[endpoint_id]
