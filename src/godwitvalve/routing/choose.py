"""Choice of an endpoint for one request."""

from __future__ import annotations

from collections import abc
import dataclasses
import heapq
from typing import NamedTuple, TypeAlias

from godwitvalve.outcomes import codes
from godwitvalve.routing import endpoint as endpoint_model
from godwitvalve.routing import view as view_model

# From a difference of about two requests on, waiting in the longer queue
# costs more than a near endpoint (1 ms of network time) or a cached prefix
# saves.
NEAR_MARGIN_REQUESTS = 2
PREFIX_MARGIN_REQUESTS = 2
# Load reports lag by a second. If every entry compared the reported load of
# all endpoints, all would send to the same few until the next report.
TIED_COMPARED = 3


class RouteRequest(NamedTuple):
    """Criteria for the choice of an endpoint.

    :param allowed: endpoint ids that may be used, or None for all.
    :param tried: endpoint ids that this request was already sent to.
    :param prefix_hint: digest of the prompt's start; empty for none.
    :param for_resume: whether the request resumes an interrupted generation.
    """

    service: str
    version: str
    allowed: frozenset[str] | None = None
    tried: frozenset[str] = frozenset()
    prefix_hint: str = ''
    priority: int = 0
    for_resume: bool = False


@dataclasses.dataclass(frozen=True)
class NoEndpoint:
    """No endpoint can take the request."""

    code: codes.ResultCode


Choice: TypeAlias = endpoint_model.Endpoint | NoEndpoint


def _candidates(
    views: abc.Iterable[view_model.EndpointView], request: RouteRequest
) -> list[view_model.EndpointView]:
    usable = []
    avoided = []
    for view in views:
        standing = view.standing
        if standing is view_model.Standing.OUT:
            continue
        endpoint_id = view.endpoint.endpoint_id
        if endpoint_id in request.tried:
            continue
        if request.allowed is not None and endpoint_id not in request.allowed:
            continue
        if standing is view_model.Standing.USABLE:
            usable.append(view)
        else:
            avoided.append(view)
    return usable or avoided


def _last_use(view: view_model.EndpointView) -> int:
    return view.last_use


def _load_order(view: view_model.EndpointView) -> tuple[int, int]:
    return (view.reported_load, view.last_use)


def _least_loaded(
    pool: list[view_model.EndpointView],
) -> view_model.EndpointView:
    outstanding = min(view.outstanding for view in pool)
    tied = [view for view in pool if view.outstanding == outstanding]
    if len(tied) > TIED_COMPARED:
        tied = heapq.nsmallest(TIED_COMPARED, tied, key=_last_use)
    return min(tied, key=_load_order)


def _by_domain(
    candidates: list[view_model.EndpointView], near_domain: str
) -> list[view_model.EndpointView]:
    near = []
    far_least: int | None = None
    for view in candidates:
        if view.endpoint.failure_domain == near_domain:
            near.append(view)
        elif far_least is None or view.outstanding < far_least:
            far_least = view.outstanding
    if not near:
        return candidates
    if far_least is None:
        return near
    near_least = min(view.outstanding for view in near)
    if near_least - far_least >= NEAR_MARGIN_REQUESTS:
        return candidates
    return near


def choose(
    views: abc.Iterable[view_model.EndpointView],
    request: RouteRequest,
    near_domain: str,
    holder_id: str | None,
) -> view_model.EndpointView | NoEndpoint:
    """Return the endpoint for a request.

    :param views: endpoints of the request's service version, with their
        standings assigned.
    :param near_domain: failure domain of this entry.
    :param holder_id: endpoint that likely has the request's prefix cached.
    """
    candidates = _candidates(views, request)
    if not candidates:
        return NoEndpoint(codes.ResultCode.NO_ENDPOINT)
    pool = _by_domain(candidates, near_domain)
    least = _least_loaded(pool)
    if holder_id is None:
        return least
    bound = least.outstanding + PREFIX_MARGIN_REQUESTS
    for view in pool:
        if view.endpoint.endpoint_id == holder_id:
            return view if view.outstanding <= bound else least
    return least
