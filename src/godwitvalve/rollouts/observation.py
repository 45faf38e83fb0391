"""One send whose outcome counts for or against a version."""

from __future__ import annotations

from collections import abc
from typing import Protocol

from godwitvalve.rollouts import outcome_counts

# Part of the objective after which an answer is slow: usual answers take
# about a third of it, and bad versions are several times slower.
SLOW_SHARE = 0.5


class Timer(Protocol):
    """A call that can be taken back."""

    def cancel(self) -> None:
        """Take the call back."""


CallLater = abc.Callable[[float, abc.Callable[[], None]], Timer]


class Observation:
    """Counts one send; ``close`` ends it in any case.

    :param endpoint_id: the endpoint, if it runs the new version.
    """

    def __init__(
        self,
        counts: outcome_counts.OutcomeCounts,
        route: str,
        endpoint_id: str | None,
        objective_ms: float,
        call_later: CallLater,
    ) -> None:
        self._counts = counts
        self._version_counts = counts.for_version(
            route, endpoint_id is not None
        )
        self._endpoint_id = endpoint_id
        self._is_timed = False
        counts.sent += 1
        counts.sent_new += endpoint_id is not None
        self._timer = call_later(
            objective_ms / 1000 * SLOW_SHARE, self._record_slow
        )

    def _record_slow(self) -> None:
        self._is_timed = True
        self._version_counts.timed += 1
        self._version_counts.slow += 1
        self._add_failing_endpoint()

    def _add_failing_endpoint(self) -> None:
        if self._endpoint_id is not None:
            self._counts.add_failing(self._endpoint_id)

    def record_answer(self, is_failure: bool) -> None:
        """Note the answer of the endpoint, or the first event."""
        self._version_counts.ended += 1
        if is_failure:
            self._version_counts.failed += 1
            self._add_failing_endpoint()
        elif not self._is_timed:
            self._is_timed = True
            self._version_counts.timed += 1
        self._timer.cancel()

    def close(self) -> None:
        """End the observation; a send without an answer says nothing."""
        self._timer.cancel()
