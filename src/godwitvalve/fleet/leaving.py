"""Endpoints that state that they leave, in answers or in rows."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

from godwitvalve.fleet import endpoints

# An endpoint that leaves is removed from the table and ends within about ten
# seconds; asked sooner, it would only repeat that it leaves.
CONFIRM_AFTER_S = 10.0
# Bounds the endpoints that are gone and whose statements are remembered.
MAX_STATEMENTS = 4096


class _Statement(NamedTuple):
    """What an endpoint stated last.

    :param started_wall_ms: start of the incarnation that leaves.
    :param is_in_answer: whether it stated it in an answer, and not only by
        its row.
    :param confirm_at_s: monotonic seconds at which it is asked again; None
        if that is not decided.
    """

    started_wall_ms: int
    is_in_answer: bool
    confirm_at_s: float | None


class StatedLeaving:
    """Endpoints that leave by their own words.

    Load pattern: the store turns one entry away, or is down, while endpoints
    leave. Their answers tell it; the rows that this entry has do not. A row
    that is written again does not end a statement: the endpoint may still
    write its row while it leaves, and the store may do such a write seconds
    late, when it has removed the row.

    A statement ends with the incarnation, or when its endpoint, asked again,
    is healthy and does not leave.
    """

    def __init__(self) -> None:
        # Oldest first.
        self._statements: dict[str, _Statement] = {}

    def record(self, endpoint: endpoints.FleetEndpoint, now_s: float) -> None:
        """Record that an endpoint stated it in an answer.

        :param now_s: monotonic seconds.
        """
        self._keep(endpoint, True, now_s + CONFIRM_AFTER_S)

    def record_row(self, endpoint: endpoints.FleetEndpoint) -> None:
        """Record that an endpoint left, or announced it in its row.

        A platform that does not tell restarts apart gives no start; a later
        row of the same id then counts as one of a restarted endpoint.
        """
        if endpoint.started_wall_ms and not self.includes(endpoint):
            self._keep(endpoint, False, None)

    def _keep(
        self,
        endpoint: endpoints.FleetEndpoint,
        is_in_answer: bool,
        confirm_at_s: float | None,
    ) -> None:
        self._statements.pop(endpoint.endpoint_id, None)
        self._statements[endpoint.endpoint_id] = _Statement(
            endpoint.started_wall_ms, is_in_answer, confirm_at_s
        )
        while len(self._statements) > MAX_STATEMENTS:
            self.forget(next(iter(self._statements)))

    def includes(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Tell whether this incarnation of an endpoint stated it."""
        stated = self._statements.get(endpoint.endpoint_id)
        return stated is not None and _is_same_start(
            stated.started_wall_ms, endpoint.started_wall_ms
        )

    def includes_answer(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Tell whether this incarnation stated it in an answer."""
        return (
            self.includes(endpoint)
            and self._statements[endpoint.endpoint_id].is_in_answer
        )

    def due(self, listed_ids: abc.Container[str], now_s: float) -> list[str]:
        """Return the ids to ask again now, each once in a period.

        :param listed_ids: ids of the endpoints that are known; others are
            asked once they are listed again.
        :param now_s: monotonic seconds.
        """
        due = []
        for endpoint_id, stated in self._statements.items():
            is_early = now_s < (stated.confirm_at_s or now_s)
            if is_early or endpoint_id not in listed_ids:
                continue
            if stated.confirm_at_s is not None:
                due.append(endpoint_id)
            self._statements[endpoint_id] = stated._replace(
                confirm_at_s=now_s + CONFIRM_AFTER_S
            )
        return due

    def forget_row(self, endpoint_id: str) -> None:
        """Drop what an endpoint stated by its row only."""
        stated = self._statements.get(endpoint_id)
        if stated is not None and not stated.is_in_answer:
            self.forget(endpoint_id)

    def forget(self, endpoint_id: str) -> None:
        """Drop the statement of an endpoint."""
        self._statements.pop(endpoint_id, None)


def _is_same_start(first_ms: int, second_ms: int) -> bool:
    """Compare starts; 0 is that of an endpoint whose row is not known."""
    return first_ms == second_ms or 0 in (first_ms, second_ms)
