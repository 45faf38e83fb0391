"""Records the outcome of one request for the comparison of versions."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple, Protocol

from godwitvalve.rollouts import outcome_counts

# Fraction of the latency objective after which an answer counts as slow:
# usual answers take about a third of the objective, and bad versions are
# several times slower.
SLOW_FRACTION = 0.5
# A pace beyond this explains no more, so that a false one hides no version
# that hangs.
MAX_PACE = 4.0


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


class StatedPace(NamedTuple):
    """Pace that an endpoint states.

    :param clock_s: returns monotonic seconds.
    :param pace: returns how long work takes at its machine now, 1.0 as usual.
    """

    clock_s: abc.Callable[[], float]
    pace: abc.Callable[[], float]


CallLater = abc.Callable[[float, abc.Callable[[], None]], Timer]


class Observation:
    """Counts one request sent to an endpoint; must always be closed.

    Load pattern: on shared machines the answers of a sound version take 2.5
    times as long in some spans of half a second. The pace comes with the
    answer, so a late one is judged when it arrives, or once no such span
    explains it.

    :param counts: counts that the request is added to.
    :param endpoint_id: id of the endpoint if it runs the new version.
    :param objective_ms: latency objective of the route in milliseconds.
    :param call_later: schedules a call after a number of seconds.
    :param stated: pace of the endpoint; None if its service states none.
    """

    def __init__(
        self,
        counts: outcome_counts.OutcomeCounts,
        route: str,
        endpoint_id: str | None,
        objective_ms: float,
        call_later: CallLater,
        stated: StatedPace | None = None,
    ) -> None:
        self._counts = counts
        self._version_counts = counts.for_version(
            route, endpoint_id is not None
        )
        self._endpoint_id = endpoint_id
        self._is_timed = False
        self._call_later = call_later
        self._stated = stated
        self._began_s = stated.clock_s() if stated else 0.0
        self._limit_s = objective_ms / 1000 * SLOW_FRACTION
        self._objective_s = objective_ms / 1000
        # Whether the answer is late, and may be so because of the pace.
        self._is_overdue = False
        counts.sent += 1
        counts.sent_new += endpoint_id is not None
        self._timer = call_later(self._limit_s, self._pass_limit)

    def _pass_limit(self) -> None:
        """Count a late answer as slow, or wait for the pace to explain it."""
        if self._stated is None:
            self._record_slow()
            return
        elapsed_s = self._stated.clock_s() - self._began_s
        allowed_s = max(self._explained_s(self._stated), self._objective_s)
        self._is_overdue = elapsed_s < allowed_s
        if self._is_overdue:
            self._timer = self._call_later(
                allowed_s - elapsed_s, self._pass_limit
            )
        else:
            self._record_slow()

    def _explained_s(self, stated: StatedPace) -> float:
        return self._limit_s * min(max(stated.pace(), 1.0), MAX_PACE)

    def _judge(self) -> None:
        """Count an overdue answer as slow unless the pace explains it."""
        if not self._is_overdue or self._stated is None:
            return
        self._is_overdue = False
        elapsed_s = self._stated.clock_s() - self._began_s
        if elapsed_s > self._explained_s(self._stated):
            self._record_slow()

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
        self._judge()
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
        self._judge()
        self._timer.cancel()
