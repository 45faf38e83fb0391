"""One roll-out at one entry instance."""

from __future__ import annotations

from collections import abc

from godwitvalve.fleet import endpoints
from godwitvalve.logs import setup as logs
from godwitvalve.rollouts import comparison as comparisons
from godwitvalve.rollouts import orders
from godwitvalve.rollouts import outcome_counts
from godwitvalve.rollouts import plan
from godwitvalve.rollouts import reports as report_model

# The share moves to other canary endpoints after this time, so that a fault
# of one endpoint does not look like a fault of the version.
CANARY_ROTATION_S = 2.0

_LOG = logs.get('rollouts')
_INITIAL_VIEW = plan.RolloutView(0.0, 1.0, 0.0, 0, 0, 1.0, 0, 0)


class Rollout:
    """An order with its counts, share and state.

    :param began_s: monotonic seconds when an entry first saw the order.
    :param own_counts: counts of this entry; they include answers of the
        old version from before the order.
    """

    def __init__(
        self,
        order: orders.RolloutOrder,
        began_s: float,
        limits: orders.ExposureLimits,
        own_counts: outcome_counts.OutcomeCounts,
    ) -> None:
        self.order = order
        self.began_s = began_s
        self.state = orders.RolloutState.RUNNING
        # Whether the store has a status row, in the era below.
        self.is_stored = False
        self.store_era = 0
        self.own_counts = own_counts
        self.share = 0.0
        self.limits = limits
        self._comparison = comparisons.VersionComparison()
        self._view = _INITIAL_VIEW
        self._had_old_slots = False
        self._assessment = plan.Assessment(_INITIAL_VIEW, None)
        # By instance and start: counts from before a restart remain valid.
        self._reports: dict[tuple[str, int], report_model.RolloutReport] = {}

    def elapsed_s(self, now_s: float) -> float:
        """Return the seconds since the order."""
        return now_s - self.began_s

    def is_new(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Tell whether an endpoint runs the ordered version."""
        return endpoint.version == self.order.version

    def allows(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Tell whether an endpoint may receive requests at all."""
        is_rolled_back = self.state in (
            orders.RolloutState.DOUBTED,
            orders.RolloutState.TAKEN_BACK,
        )
        return not (is_rolled_back and self.is_new(endpoint))

    def choose(
        self, listed: abc.Sequence[endpoints.FleetEndpoint], draw: float
    ) -> list[endpoints.FleetEndpoint]:
        """Return the endpoints that a request may go to.

        :param draw: random number from 0 to 1 that selects the version; 1
            selects the old one unless the new one gets all requests.
        """
        new = [each for each in listed if self.is_new(each)]
        old = [each for each in listed if not self.is_new(each)]
        if self.state is orders.RolloutState.COMPLETED:
            return new or old
        if self.state is not orders.RolloutState.RUNNING:
            return old
        if self.share >= 1.0:
            return new or old
        if not old:
            return new if self._may_expose() else []
        return (
            self._canary_endpoints(new, len(old)) if draw < self.share else old
        )

    def _may_expose(self) -> bool:
        """Tell whether the new version serves if no old one is listed.

        An order for the version that already runs never had an old one.
        """
        has_exposure = plan.remaining_exposure(self._view, self.limits) > 0
        return has_exposure or not self._had_old_slots

    def _canary_endpoints(
        self, new: list[endpoints.FleetEndpoint], old_count: int
    ) -> list[endpoints.FleetEndpoint]:
        """Return so few new endpoints that each is loaded like an old one.

        Load pattern: a version that fails only under load. A small share
        that is spread over all endpoints of the new version would not show
        that.
        """
        count = max(round(self.share * old_count), 1)
        ordered = sorted(new, key=lambda each: each.endpoint_id)
        offset = int(self._view.elapsed_s / CANARY_ROTATION_S) * count
        first = offset % max(len(ordered), 1)
        return (ordered[first:] + ordered[:first])[:count]

    def apply_report(
        self,
        origin: tuple[str, int],
        report: report_model.RolloutReport,
        now_s: float,
        age_s: float,
    ) -> bool:
        """Apply another entry's report; tell whether the state changed.

        :param origin: instance and start of the sender.
        :param age_s: seconds since it was sent.
        """
        self._reports[origin] = report
        # A report may be from before a restore of the store.
        self.is_stored |= (
            report.is_stored and report.store_era >= self.store_era
        )
        began_s = now_s - age_s - report.elapsed_ms / 1000
        self.began_s = min(self.began_s, began_s)
        return self.advance(report.state, origin[0])

    def advance(self, state: orders.RolloutState, reason: str) -> bool:
        """Enter a state if it is greater; tell whether it was entered."""
        if state <= self.state:
            return False
        self.state = state
        self.share = float(state is orders.RolloutState.COMPLETED)
        _LOG.info(
            'Roll-out state changed.',
            extra={
                'service': self.order.service,
                'version': self.order.version,
                'order': self.order.row_version,
                'state': state.name,
                'reason': reason,
                'sent': self._view.sent,
                'sent_new': self._view.sent_new,
                'part': round(self._view.elapsed_fraction, 2),
                'evidence': round(self._view.evidence, 1),
            },
        )
        return True

    def review(
        self,
        listed: abc.Collection[endpoints.FleetEndpoint],
        drain_s: float,
        now_s: float,
    ) -> bool:
        """Compare the versions, plan the share; tell if the state changed.

        :param listed: endpoints of the service that are not leaving.
        :param drain_s: seconds in which requests at the old version end.
        """
        total = outcome_counts.total(
            [
                self.own_counts,
                *(report.counts for report in self._reports.values()),
            ]
        )
        self._comparison.update(total, self.elapsed_s(now_s))
        new = [each for each in listed if self.is_new(each)]
        self._view = plan.RolloutView(
            self.elapsed_s(now_s),
            self.order.duration_s,
            drain_s,
            total.sent,
            total.sent_new,
            self._comparison.max_evidence(),
            sum(each.slots for each in new),
            sum(each.slots for each in listed if not self.is_new(each)),
        )
        self._had_old_slots |= self._view.old_slots > 0
        self._assessment = plan.Assessment(
            self._view, self._comparison.failure_reason(len(new))
        )
        if self.state is not orders.RolloutState.RUNNING:
            return False
        reason = plan.rollback_reason(self._assessment)
        if reason is not None:
            return self.advance(orders.RolloutState.DOUBTED, reason)
        if self.is_stored:
            self.share = plan.plan_share(self._view, self.limits)
        return False

    def pending_state(self) -> orders.RolloutState | None:
        """Return the state that is still to be written to the store."""
        match self.state:
            case orders.RolloutState.DOUBTED:
                return orders.RolloutState.TAKEN_BACK
            case orders.RolloutState.RUNNING:
                if not self.is_stored:
                    return orders.RolloutState.RUNNING
                if self.share >= 1.0 and plan.is_complete(self._assessment):
                    return orders.RolloutState.COMPLETED
            case _ if not self.is_stored:
                return self.state
        return None

    def report(self, now_s: float) -> report_model.RolloutReport:
        """Return the report for the other entries."""
        return report_model.RolloutReport(
            self.order.service,
            self.order.version,
            int(self.order.duration_s * 1000),
            self.order.row_version,
            int(self.elapsed_s(now_s) * 1000),
            self.state,
            self.is_stored,
            self.own_counts,
            self.order.era,
            self.store_era,
        )
