"""Endpoints that state in their answers that they leave."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.fleet import endpoints

# An endpoint that leaves is removed from the table and ends within about ten
# seconds; asked sooner, it would only repeat that it leaves.
CONFIRM_AFTER_S = 10.0


class _Statement(NamedTuple):
    """What an endpoint stated last.

    :param started_wall_ms: start of the incarnation that leaves.
    :param confirm_at_s: monotonic seconds at which it is asked again.
    """

    started_wall_ms: int
    confirm_at_s: float


class StatedLeaving:
    """Endpoints that leave by their own answers to this entry.

    Load pattern: the store turns one entry away, or is down, while endpoints
    leave. Their answers tell it; the rows that this entry has do not. A row
    that is written again does not end a statement, as the endpoint may still
    write its row while it leaves.

    A statement ends with the incarnation, or when its endpoint, asked again,
    is healthy and does not leave.
    """

    def __init__(self) -> None:
        self._statements: dict[str, _Statement] = {}

    def record(self, endpoint: endpoints.FleetEndpoint, now_s: float) -> None:
        """Record that an endpoint stated it.

        :param now_s: monotonic seconds.
        """
        self._statements[endpoint.endpoint_id] = _Statement(
            endpoint.started_wall_ms, now_s + CONFIRM_AFTER_S
        )

    def includes(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Tell whether this incarnation of an endpoint stated it."""
        stated = self._statements.get(endpoint.endpoint_id)
        return stated is not None and _is_same_start(
            stated.started_wall_ms, endpoint.started_wall_ms
        )

    def due(self, now_s: float) -> list[str]:
        """Return the ids to ask again now, each once in a period.

        :param now_s: monotonic seconds.
        """
        due = [
            endpoint_id
            for endpoint_id, stated in self._statements.items()
            if stated.confirm_at_s <= now_s
        ]
        for endpoint_id in due:
            self._statements[endpoint_id] = self._statements[
                endpoint_id
            ]._replace(confirm_at_s=now_s + CONFIRM_AFTER_S)
        return due

    def forget(self, endpoint_id: str) -> None:
        """Drop the statement of an endpoint."""
        self._statements.pop(endpoint_id, None)


def _is_same_start(first_ms: int, second_ms: int) -> bool:
    """Compare starts; 0 is that of an endpoint whose row is not known."""
    return first_ms == second_ms or 0 in (first_ms, second_ms)
