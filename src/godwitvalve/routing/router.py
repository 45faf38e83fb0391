"""Routing state of one entry: endpoints, health and load."""

from __future__ import annotations

from collections import abc

from godwitvalve.engine import port as engine_port
from godwitvalve.outcomes import codes
from godwitvalve.routing import choose as choice
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import prefixes
from godwitvalve.routing import results
from godwitvalve.routing import subset as subsets
from godwitvalve.routing import view as view_model

_Group = tuple[str, str]


class Router:
    """Chooses endpoints and tracks their load and health.

    :param entry_id: name of this entry; entries break ties in different
        orders, so that they do not all start with the same endpoint.
    :param near_domain: failure domain of this entry.
    """

    def __init__(self, entry_id: str, near_domain: str) -> None:
        self._entry_id = entry_id
        self._near_domain = near_domain
        self._views: dict[str, view_model.EndpointView] = {}
        self._groups: dict[_Group, list[view_model.EndpointView]] = {}
        # Endpoints that are no longer listed but have requests in flight.
        # If the lagging list names them again, their count is still exact.
        self._unlisted: dict[str, view_model.EndpointView] = {}
        self._prefixes = prefixes.PrefixMap()
        self._use_count = 0

    def update_endpoints(
        self,
        endpoints: abc.Iterable[endpoint_model.Endpoint],
        now_s: float,
        leaving_ids: abc.Set[str] = frozenset(),
    ) -> None:
        """Replace the listed endpoints; those that remain keep their state.

        :param leaving_ids: endpoints that the list marks as leaving.
        """
        known = {**self._unlisted, **self._views}
        views = {}
        for endpoint in endpoints:
            view = self._view_for(known.get(endpoint.endpoint_id), endpoint)
            view.listed_leaving = endpoint.endpoint_id in leaving_ids
            views[endpoint.endpoint_id] = view
        self._unlisted = {
            endpoint_id: view
            for endpoint_id, view in known.items()
            if endpoint_id not in views and view.outstanding
        }
        self._views = views
        self._regroup()

    def acquire(
        self, request: choice.RouteRequest, now_s: float
    ) -> endpoint_model.Endpoint | codes.ResultCode:
        """Choose an endpoint and count the request as in flight there."""
        group = self._groups.get((request.service, request.version), [])
        holder = self._prefixes.holder(
            request.service, request.version, request.prefix_hint
        )
        chosen = choice.choose(group, request, self._near_domain, holder)
        if isinstance(chosen, choice.NoEndpoint):
            return chosen.code
        self._use_count += 1
        chosen.last_use = self._use_count
        chosen.outstanding += 1
        self._prefixes.record(
            request.service,
            request.version,
            request.prefix_hint,
            chosen.endpoint.endpoint_id,
        )
        return chosen.endpoint

    def claim(self, endpoint_id: str) -> endpoint_model.Endpoint | None:
        """Count a request at the given endpoint, which holds its stream.

        :returns: None if the endpoint is not listed.
        """
        view = self._views.get(endpoint_id)
        if view is None:
            return None
        view.outstanding += 1
        return view.endpoint

    def outstanding(self, endpoint_id: str) -> int:
        """Return the number of own requests in flight at an endpoint."""
        view = self._find_view(endpoint_id)
        return view.outstanding if view else 0

    def release(
        self,
        endpoint_id: str,
        result: results.AttemptResult,
        now_s: float,
    ) -> None:
        """Record the end of an attempt counted by ``acquire`` or ``claim``."""
        view = self._find_view(endpoint_id)
        if view is None:
            return
        view.outstanding = max(0, view.outstanding - 1)
        if not view.outstanding:
            self._unlisted.pop(endpoint_id, None)
        before = view.standing_inputs
        if isinstance(result, results.Leaving):
            view.mark_leaving(now_s)
        view.health.record(result, now_s)
        self._update_standings(view, before)

    def report_load(
        self,
        endpoint_id: str,
        report: engine_port.LoadReport,
        now_s: float,
    ) -> None:
        """Update the state of an endpoint from its load report."""
        view = self._views.get(endpoint_id)
        if view is None:
            return
        before = view.standing_inputs
        view.reported_load = report.queue_length + report.running
        if report.state == 'leaving':
            view.mark_leaving(now_s)
        else:
            view.mark_live(now_s)
        self._update_standings(view, before)

    def endpoints_to_probe(
        self, now_s: float
    ) -> list[endpoint_model.Endpoint]:
        """Return the endpoints to probe now, each on a fresh connection.

        A returned endpoint counts as probed: it is not returned again
        before the probe interval has passed.
        """
        due = []
        for group in self._groups.values():
            none_usable = not any(_accepts_work(view) for view in group)
            due += [
                view.endpoint
                for view in group
                if view.health.start_probe_if_due(now_s, none_usable)
            ]
        return due

    def record_probe(
        self,
        endpoint_id: str,
        result: engine_port.LoadReport | results.AttemptResult,
        now_s: float,
    ) -> None:
        """Record the load report of a probe, or how the probe failed."""
        view = self._views.get(endpoint_id)
        if view is None:
            return
        if isinstance(result, engine_port.LoadReport):
            self.report_load(endpoint_id, result, now_s)
            result = results.Succeeded()
        before = view.standing_inputs
        view.health.record_probe(result, now_s)
        self._update_standings(view, before)

    def usable_count(self, service: str, version: str) -> int:
        """Return the number of endpoints that may get new work."""
        group = self._groups.get((service, version), [])
        return sum(_accepts_work(view) for view in group)

    def views(self) -> list[view_model.EndpointView]:
        """Return the state of the listed endpoints."""
        return list(self._views.values())

    def _view_for(
        self,
        known: view_model.EndpointView | None,
        endpoint: endpoint_model.Endpoint,
    ) -> view_model.EndpointView:
        if known is not None and known.endpoint == endpoint:
            return known
        # Negative, so that unused endpoints sort before used ones.
        last_use = -subsets.score(self._entry_id, endpoint.endpoint_id)
        return view_model.EndpointView(endpoint, last_use)

    def _find_view(self, endpoint_id: str) -> view_model.EndpointView | None:
        view = self._views.get(endpoint_id)
        return view or self._unlisted.get(endpoint_id)

    def _regroup(self) -> None:
        self._groups = {}
        for view in self._views.values():
            key = (view.endpoint.service, view.endpoint.version)
            self._groups.setdefault(key, []).append(view)
        for group in self._groups.values():
            view_model.assign_standings(group)

    def _update_standings(
        self, view: view_model.EndpointView, before: view_model.StandingInputs
    ) -> None:
        """Reassign the standings of the group if their inputs changed."""
        if view.standing_inputs == before:
            return
        key = (view.endpoint.service, view.endpoint.version)
        view_model.assign_standings(self._groups.get(key, []))


def _accepts_work(view: view_model.EndpointView) -> bool:
    return view.standing is not view_model.Standing.OUT
