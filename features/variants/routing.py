"""Reference implementations of routing rules, and rules without a guard."""

from __future__ import annotations

from godwitvalve.routing import retry_budget
from godwitvalve.routing import subset
from godwitvalve.routing import view


def reference_choose(views, request, near_domain, holder_id):
    """Return the chosen view, by a direct form of the documented rules."""

    def may_use(item, standing):
        endpoint_id = item.endpoint.endpoint_id
        return (
            item.standing is standing
            and endpoint_id not in request.tried
            and (request.allowed is None or endpoint_id in request.allowed)
        )

    pool = [v for v in views if may_use(v, view.Standing.USABLE)]
    if not pool:
        pool = [v for v in views if may_use(v, view.Standing.AVOIDED)]
    if not pool:
        return None
    near = [v for v in pool if v.endpoint.failure_domain == near_domain]
    far = [v for v in pool if v.endpoint.failure_domain != near_domain]
    if near and far:
        near_least = sorted(v.outstanding for v in near)[0]
        far_least = sorted(v.outstanding for v in far)[0]
        if not near_least >= far_least + 2:
            pool = near
    elif near:
        pool = near
    fewest = sorted(v.outstanding for v in pool)[0]
    tied = [v for v in pool if v.outstanding == fewest]
    longest_unused = sorted(tied, key=lambda v: v.last_use)[:3]
    order = sorted(longest_unused, key=lambda v: (v.reported_load, v.last_use))
    holders = [v for v in pool if v.endpoint.endpoint_id == holder_id]
    if holders and holders[0].outstanding <= order[0].outstanding + 2:
        return holders[0]
    return order[0]


def reference_subset(entry_id, endpoints, size):
    """Take the highest-ranked unused endpoint of each domain in turn."""
    ranked = sorted(
        endpoints, key=lambda e: -subset.score(entry_id, e.endpoint_id)
    )
    domains = []
    for endpoint in ranked:
        if endpoint.failure_domain not in domains:
            domains.append(endpoint.failure_domain)
    selected = []
    while len(selected) < min(size, len(ranked)):
        for domain in domains:
            unused = [
                e
                for e in ranked
                if e.failure_domain == domain and e not in selected
            ]
            if unused and len(selected) < size:
                selected.append(unused[0])
    return selected


def standings_without_cap(views):
    """Withhold every unhealthy endpoint from new work."""
    view.assign_standings(views)
    for item in views:
        if item.health.condition is not item.health.condition.HEALTHY:
            item.standing = view.Standing.OUT


class UnboundedRetries(retry_budget.RetryBudget):
    """Budget that allows every retry."""

    def try_retry(self, service, for_resume=False):
        """Allow the retry."""
        return True
