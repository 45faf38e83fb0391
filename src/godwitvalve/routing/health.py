"""Health of one endpoint as its own results and probes show it."""

from __future__ import annotations

import enum

from godwitvalve.routing import results

# One loss may be the network's; two in a row without a success between
# them are rarely so.
LOSSES_TO_EJECT = 2
# An endpoint that answers each request with a failure at once is always
# the least loaded one and would draw all traffic.
FAILURES_TO_EJECT = 5
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
PROBE_INTERVAL_S = 0.5


class Condition(enum.Enum):
    """What is known of an endpoint."""

    HEALTHY = 'healthy'
    SUSPECT = 'suspect'
    EJECTED = 'ejected'
    REFUSED = 'refused'


class Health:
    """State machine of one endpoint.

    ``EJECTED`` rests on suspicion, ``REFUSED`` on a refused connection.
    Both end only with a successful probe on a fresh connection.
    """

    def __init__(self) -> None:
        self.condition = Condition.HEALTHY
        self.since_s = 0.0
        self._ejected_until_s = 0.0
        self._next_probe_s = 0.0
        self._losses = 0
        self._failures = 0
        self._ejections = 0

    @property
    def is_ejected(self) -> bool:
        """Tell whether the endpoint is ejected for either reason."""
        return self.condition in (Condition.EJECTED, Condition.REFUSED)

    def record(self, result: results.AttemptResult, now_s: float) -> None:
        """Take the result of an attempt into account."""
        match result:
            case results.Succeeded():
                self._succeed(now_s)
            case results.ConnectFailed(refused=True):
                self._eject(Condition.REFUSED, now_s)
            case results.ConnectFailed() | results.ConnectionLost():
                self._count_loss(now_s)
            case results.Unresponsive():
                self._suspect(now_s)
            case results.Failed():
                self._count_failure(now_s)
            case results.Leaving() | results.Cancelled():
                pass

    def record_probe(
        self, result: results.AttemptResult, now_s: float
    ) -> None:
        """Take the result of a probe on a fresh connection into account."""
        match result:
            case results.Succeeded() | results.Leaving():
                self._return_to_service(now_s)
            case results.ConnectFailed(refused=True):
                self._eject(Condition.REFUSED, now_s)
            case results.Cancelled():
                pass
            case _:
                self._eject(Condition.EJECTED, now_s)

    def probe_due(self, now_s: float, none_usable: bool) -> bool:
        """Tell whether to probe now, and count that as done if so.

        :param none_usable: whether no endpoint of the service version can
            be used, in which case an ejection is not waited out.
        """
        if self.condition is Condition.HEALTHY:
            return False
        if now_s < self._next_probe_s:
            return False
        if (
            self.is_ejected
            and now_s < self._ejected_until_s
            and not none_usable
        ):
            return False
        self._next_probe_s = now_s + PROBE_INTERVAL_S
        return True

    def _succeed(self, now_s: float) -> None:
        self._losses = 0
        self._failures = 0
        # The answer of a request that began before an ejection says
        # nothing of new connections.
        if not self.is_ejected:
            self._ejections = 0
            self._enter(Condition.HEALTHY, now_s)

    def _return_to_service(self, now_s: float) -> None:
        self._losses = 0
        self._failures = 0
        self._enter(Condition.HEALTHY, now_s)

    def _count_loss(self, now_s: float) -> None:
        self._losses += 1
        if self._losses >= LOSSES_TO_EJECT:
            self._eject(Condition.EJECTED, now_s)
        else:
            self._suspect(now_s)

    def _count_failure(self, now_s: float) -> None:
        self._losses = 0
        self._failures += 1
        if self._failures >= FAILURES_TO_EJECT:
            self._eject(Condition.EJECTED, now_s)

    def _suspect(self, now_s: float) -> None:
        if self.condition is Condition.HEALTHY:
            self._next_probe_s = now_s
            self._enter(Condition.SUSPECT, now_s)

    def _eject(self, condition: Condition, now_s: float) -> None:
        # Results of attempts that began before the ejection do not
        # lengthen it.
        if not self.is_ejected or now_s >= self._ejected_until_s:
            ejection_s = FIRST_EJECTION_S * 2.0**self._ejections
            self._ejected_until_s = now_s + min(ejection_s, LONGEST_EJECTION_S)
            self._ejections = min(self._ejections + 1, 10)
        self._enter(condition, now_s)

    def _enter(self, condition: Condition, now_s: float) -> None:
        if condition is not self.condition:
            self.condition = condition
            self.since_s = now_s
