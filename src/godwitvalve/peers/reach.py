"""Reachability of peers, with back-off between attempts to connect."""

from __future__ import annotations

from typing import NamedTuple

# A single failure may be a restart, so the overlay changes only after the
# second one.
FAILURES_TO_EXCLUDE = 2
_FIRST_RETRY_S = 0.25
_LAST_RETRY_S = 8.0


class _Failures(NamedTuple):
    consecutive: int
    retry_at_s: float


class Reachability:
    """Counts failed attempts and delays the next one exponentially."""

    def __init__(self) -> None:
        self._failures: dict[str, _Failures] = {}

    def record_failure(self, instance_id: str, now_s: float) -> None:
        """Record that a connection could not be opened or was rejected.

        :param now_s: monotonic seconds.
        """
        known = self._failures.get(instance_id)
        count = known.consecutive + 1 if known else 1
        delay_s = min(_LAST_RETRY_S, _FIRST_RETRY_S * 2 ** min(count, 10))
        self._failures[instance_id] = _Failures(count, now_s + delay_s)

    def record_success(self, instance_id: str) -> None:
        """Record that a connection was opened."""
        self._failures.pop(instance_id, None)

    def is_excluded(self, instance_id: str) -> bool:
        """Return whether a peer is excluded from the overlay."""
        known = self._failures.get(instance_id)
        return known is not None and known.consecutive >= FAILURES_TO_EXCLUDE

    def may_dial(self, instance_id: str, now_s: float) -> bool:
        """Return whether the back-off after the last failure has passed.

        :param now_s: monotonic seconds.
        """
        known = self._failures.get(instance_id)
        return known is None or now_s >= known.retry_at_s

    def excluded(self) -> list[str]:
        """Return the peers that are excluded from the overlay."""
        return [each for each in self._failures if self.is_excluded(each)]

    def keep_only(self, instance_ids: set[str]) -> None:
        """Discard the failures of all peers except these."""
        for each in set(self._failures) - instance_ids:
            del self._failures[each]
