"""Registry of the roll-outs at an entry instance."""

from __future__ import annotations

from collections import abc

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import routes
from godwitvalve.logs import setup as logs
from godwitvalve.rollouts import baseline as baselines
from godwitvalve.rollouts import observation as observations
from godwitvalve.rollouts import orders
from godwitvalve.rollouts import outcome_counts
from godwitvalve.rollouts import reports as report_model
from godwitvalve.rollouts import rollout as rollouts

# An ended order is reported to other entries for this long; after that it
# remains in the store and in the memory of each entry.
REPORT_AFTER_END_S = 20.0
# Operators write lost orders again within some seconds of a return. The same
# move that is ordered later is a new one.
REWRITE_S = 10.0

_LOG = logs.get('rollouts')


class RolloutRegistry:
    """Newest roll-out of each service.

    :param limits: limit on the exposure of a bad version.
    """

    def __init__(self, limits: orders.ExposureLimits) -> None:
        self._limits = limits
        self._by_service: dict[str, rollouts.Rollout] = {}
        self._baselines: dict[str, baselines.Baseline] = {}
        self._store_era = 0
        self._rewritten_until_s = float('-inf')

    def set_limits(self, limits: orders.ExposureLimits) -> None:
        """Change the limit, also that of roll-outs under way."""
        self._limits = limits
        for each in self._by_service.values():
            each.limits = limits

    def all(self) -> abc.Collection[rollouts.Rollout]:
        """Return the newest roll-out of each service."""
        return self._by_service.values()

    def add_order(
        self,
        order: orders.RolloutOrder,
        now_s: float,
        may_be_copied: bool = False,
    ) -> rollouts.Rollout | None:
        """Add an order; return its roll-out if none is newer.

        A roll-out continues if its order was lost and is written again.

        :param may_be_copied: whether it may be that of an older copy of the
            store.
        """
        known = self._by_service.get(order.service)
        if known is not None:
            if known.order.revision == order.revision:
                return known
            if known.order.revision > order.revision:
                return None
            if known.order.is_same_move(order) and (
                may_be_copied or self._is_written_again(order, known, now_s)
            ):
                known.order = order
                return known
        baseline = self._baselines.get(order.service)
        found = rollouts.Rollout(
            order,
            now_s,
            self._limits,
            baseline.recent(now_s)
            if baseline
            else outcome_counts.OutcomeCounts(routes={}),
        )
        found.store_era = self._store_era
        self._by_service[order.service] = found
        _LOG.info(
            'Roll-out ordered.',
            extra={
                'service': order.service,
                'version': order.version,
                'duration_s': order.duration_s,
                'order': order.row_version,
            },
        )
        return found

    def _is_written_again(
        self,
        order: orders.RolloutOrder,
        known: rollouts.Rollout,
        now_s: float,
    ) -> bool:
        """Tell whether an order is a known one that a return lost."""
        if order.era <= known.order.era:
            return False
        return (
            order.row_version == known.order.row_version
            or now_s < self._rewritten_until_s
        )

    def mark_store_restored(self, era: int, now_s: float) -> None:
        """Store the states again that a restored store may have lost.

        :param now_s: monotonic seconds.
        """
        self._rewritten_until_s = now_s + REWRITE_S
        for each in self._by_service.values():
            # What is known is as new as the era in which it was read.
            each.order = each.order._replace(
                era=max(each.order.era, self._store_era)
            )
            each.is_stored = False
            each.store_era = era
        self._store_era = era

    def apply_report(
        self,
        origin: tuple[str, int],
        report: report_model.RolloutReport,
        now_s: float,
        age_s: float,
    ) -> bool:
        """Apply another entry's report; tell whether a state changed."""
        order = orders.RolloutOrder(
            report.service,
            report.version,
            report.duration_ms / 1000,
            report.row_version,
            report.era,
        )
        found = self.add_order(order, now_s)
        return found is not None and found.apply_report(
            origin, report, now_s, age_s
        )

    def choose(
        self,
        service: str,
        listed: list[endpoints.FleetEndpoint],
        draw: float,
    ) -> list[endpoints.FleetEndpoint]:
        """Return the endpoints that a request may go to."""
        found = self._by_service.get(service)
        return listed if found is None else found.choose(listed, draw)

    def allows(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Tell whether an endpoint may receive requests at all."""
        found = self._by_service.get(endpoint.service)
        return found is None or found.allows(endpoint)

    def observe(
        self,
        endpoint: endpoints.FleetEndpoint,
        route: routes.Route,
        call_later: observations.CallLater,
        now_s: float,
        stated: observations.StatedPace | None = None,
    ) -> observations.Observation:
        """Start counting a request that is sent to an endpoint.

        Without a running roll-out it counts for the version that a later
        order will replace.

        :param stated: pace of the endpoint; None if its service states none.
        """
        found = self._by_service.get(endpoint.service)
        if found is None or found.state.is_final:
            counted = self._baseline(endpoint.service).current(now_s)
            new_id = None
        else:
            counted = found.own_counts
            new_id = endpoint.endpoint_id if found.is_new(endpoint) else None
        return observations.Observation(
            counted,
            route.name,
            new_id,
            route.objective_ms,
            call_later,
            stated,
        )

    def _baseline(self, service: str) -> baselines.Baseline:
        return self._baselines.setdefault(service, baselines.Baseline())

    def reports(self, now_s: float) -> list[report_model.RolloutReport]:
        """Return the reports for the other entries."""
        return [
            each.report(now_s)
            for each in self._by_service.values()
            if not each.state.is_final
            or each.elapsed_s(now_s)
            < each.order.duration_s + REPORT_AFTER_END_S
        ]
