"""Health of one endpoint, from the results of attempts and probes."""

from __future__ import annotations

import enum

from godwitvalve.routing import results

# One lost connection may be a fault of the network; two in a row without a
# success between them rarely are.
LOSSES_TO_EJECT = 2
# An endpoint that fails each request at once is always the least loaded one
# and would attract all traffic.
FAILURES_TO_EJECT = 5
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
PROBE_INTERVAL_S = 0.5


class Condition(enum.Enum):
    """Health condition of an endpoint."""

    HEALTHY = 'healthy'
    SUSPECT = 'suspect'
    EJECTED = 'ejected'
    REFUSED = 'refused'


class Health:
    """Health state machine of one endpoint.

    ``EJECTED`` is inferred from failed attempts and probes, ``REFUSED``
    follows a refused connection. Both end only with a successful probe on a
    fresh connection.
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
        """Update the condition from the result of an attempt."""
        match result:
            case results.Succeeded():
                self._record_success(now_s)
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
        """Update the condition from a probe on a fresh connection."""
        match result:
            case results.Succeeded() | results.Leaving():
                self._return_to_service(now_s)
            case results.ConnectFailed(refused=True):
                self._eject(Condition.REFUSED, now_s)
            case results.Cancelled():
                pass
            case _:
                self._eject(Condition.EJECTED, now_s)

    def start_probe_if_due(self, now_s: float, none_usable: bool) -> bool:
        """Tell whether to probe now, and schedule the next probe if so.

        :param none_usable: whether no endpoint of the service version can
            be used; probes then start before an ejection's time has passed.
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

    def _record_success(self, now_s: float) -> None:
        self._losses = 0
        self._failures = 0
        # An answer to a request that began before an ejection does not
        # show that new connections succeed.
        if not self.is_ejected:
            self._ejections = 0
            self._set_condition(Condition.HEALTHY, now_s)

    def _return_to_service(self, now_s: float) -> None:
        self._losses = 0
        self._failures = 0
        self._set_condition(Condition.HEALTHY, now_s)

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
            self._set_condition(Condition.SUSPECT, now_s)

    def _eject(self, condition: Condition, now_s: float) -> None:
        # Results of attempts that began before the ejection do not extend
        # it.
        if not self.is_ejected or now_s >= self._ejected_until_s:
            ejection_s = FIRST_EJECTION_S * 2.0**self._ejections
            self._ejected_until_s = now_s + min(ejection_s, LONGEST_EJECTION_S)
            self._ejections = min(self._ejections + 1, 10)
        self._set_condition(condition, now_s)

    def _set_condition(self, condition: Condition, now_s: float) -> None:
        if condition is not self.condition:
            self.condition = condition
            self.since_s = now_s
