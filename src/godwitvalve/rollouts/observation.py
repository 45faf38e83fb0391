"""Records the outcome of one request for the comparison of versions."""

from __future__ import annotations

from collections import abc
from typing import Protocol

from godwitvalve.rollouts import outcome_counts

# Fraction of the latency objective after which an answer counts as slow:
# usual answers take about a third of the objective, and bad versions are
# several times slower.
SLOW_FRACTION = 0.5


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


CallLater = abc.Callable[[float, abc.Callable[[], None]], Timer]


class Observation:
    """Counts one request sent to an endpoint; must always be closed.

    :param counts: counts that the request is added to.
    :param endpoint_id: id of the endpoint if it runs the new version.
    :param objective_ms: latency objective of the route in milliseconds.
    :param call_later: schedules a call after a number of seconds.
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
            objective_ms / 1000 * SLOW_FRACTION, self._record_slow
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
        """Count the answer of a call, or the first event of a stream."""
        self._version_counts.ended += 1
        if is_failure:
            self._version_counts.failed += 1
            self._add_failing_endpoint()
        elif not self._is_timed:
            self._is_timed = True
            self._version_counts.timed += 1
        self._timer.cancel()

    def close(self) -> None:
        """End the observation; no answer is neither success nor failure."""
        self._timer.cancel()
