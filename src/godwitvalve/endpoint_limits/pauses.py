"""Pauses that endpoints ask this entry for when they turn it away."""

from __future__ import annotations

from godwitvalve.fleet import endpoints

# A longer pause may be an error, and ends with a request that asks again.
MAX_PAUSE_S = 60.0


class PauseTable:
    """Until when endpoints want no requests of this entry.

    Load pattern: an overloaded endpoint turns requests away and states when
    it takes some again. Each request until then costs it work, and its caller
    an attempt.
    """

    def __init__(self) -> None:
        # By id and start of the endpoint, in monotonic seconds.
        self._until_s: dict[tuple[str, int], float] = {}

    def record(
        self, endpoint: endpoints.FleetEndpoint, pause_s: float, now_s: float
    ) -> bool:
        """Record a pause; return whether there was none until now.

        :param pause_s: seconds from now.
        :param now_s: monotonic seconds.
        """
        is_new = not self.is_paused(endpoint, now_s)
        until_s = now_s + min(pause_s, MAX_PAUSE_S)
        self._until_s[_incarnation(endpoint)] = max(
            until_s, self.until_s(endpoint)
        )
        return is_new

    def until_s(self, endpoint: endpoints.FleetEndpoint) -> float:
        """Return the end of the last pause in monotonic seconds, or 0."""
        return self._until_s.get(_incarnation(endpoint), 0.0)

    def is_paused(
        self, endpoint: endpoints.FleetEndpoint, now_s: float
    ) -> bool:
        """Tell whether an endpoint wants no requests now."""
        return now_s < self.until_s(endpoint)

    def is_empty(self) -> bool:
        """Tell whether no pause is known."""
        return not self._until_s

    def expire(self, now_s: float) -> None:
        """Drop the pauses that have ended."""
        self._until_s = {
            incarnation: until_s
            for incarnation, until_s in self._until_s.items()
            if until_s > now_s
        }


def _incarnation(endpoint: endpoints.FleetEndpoint) -> tuple[str, int]:
    return endpoint.endpoint_id, endpoint.started_wall_ms
