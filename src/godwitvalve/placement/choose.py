"""Selects the endpoints of calls, streams and backups of streams."""

from __future__ import annotations

import collections
from collections import abc
import random
from typing import NamedTuple, TypeAlias

from godwitvalve.endpoint_limits import view as views
from godwitvalve.fleet import endpoints
from godwitvalve.placement import tracker as trackers

# Endpoints that must be down at the same time to suspect their failure
# domain. Crashes of single endpoints are rare compared with those of a domain.
SUSPECT_LOSSES = 2
# In busy slots: a call to another failure domain takes 2 ms longer, a busy
# slot costs about 45 ms.
CROSS_DOMAIN_CALL_COST = 0.3
# In streams: processing a prompt takes about a second and slows all other
# streams of the endpoint.
STARTING_COST = 2.0
# A backup takes memory but no computation time.
BACKUP_COST = 0.3
CROSS_DOMAIN_STREAM_COST = 0.1
# In streams: an endpoint that has processed the prompt saves a second. With
# more additional streams than this, one more would delay all of them.
SESSION_SAVING = 3.0
# In streams: less than a prompt that is being processed. With more, the
# memory of the endpoints without a limit fills up and they preempt streams.
LIMITED_STREAM_COST = 2.0
# In streams: weight of the added stream beside the load that it meets, for
# the factor by which work takes longer. With 1, empty slow endpoints get so
# many streams that more are late at the usual load (pace_replay).
ADDED_STREAM_COST = 2.0
# Costs of streams that differ by less are a tie where pace is stated. Entries
# learn of other placements after some 20 ms; until then all would choose the
# same endpoint. A backup and another failure domain are no difference.
NEAR_TIE = 0.5
NO_LIMITS = views.LimitView()
# How long work takes at an endpoint compared with a usual one.
WorkFactor: TypeAlias = abc.Callable[[endpoints.FleetEndpoint], float]


class Placements(NamedTuple):
    """Streams of other entries at an endpoint, as they reported them.

    :param held_tokens: tokens that they will hold at their end.
    :param unread_tokens: tokens of their prompts that are not read yet.
    """

    streams: int = 0
    starting: int = 0
    backups: int = 0
    held_tokens: int = 0
    unread_tokens: int = 0


RemotePlacements = abc.Mapping[str, Placements]
# Returns what the cached part of a prompt saves at an endpoint, in streams.
Savings = abc.Callable[[endpoints.FleetEndpoint], float]


def preferred(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    tracker: trackers.EndpointTracker,
    tried: abc.Set[str],
    now_s: float,
    limits: views.LimitView = NO_LIMITS,
) -> list[endpoints.FleetEndpoint]:
    """Return the healthiest group of candidates that were not tried.

    Load pattern: a failure domain of 18 endpoints crashes. A stream that
    tries one after the other is late, so two lost endpoints put their whole
    failure domain behind the others. If no candidate is healthy, all
    candidates that were not tried are returned.

    If the limits of all healthy candidates are exhausted, those remain that
    failed lately but do not count as down.
    """
    untried = [each for each in candidates if each.endpoint_id not in tried]
    healthy = [
        each
        for each in untried
        if tracker.stats(each.endpoint_id).ejected_until_s <= now_s
    ]
    suspect = suspect_domains(candidates, tracker, now_s)
    outside = [each for each in healthy if each.failure_domain not in suspect]
    healthiest = outside or healthy or untried
    permitted = [
        each for each in healthiest if each.endpoint_id not in limits.exhausted
    ]
    if permitted or not healthiest:
        return permitted
    return [
        each
        for each in untried
        if each.endpoint_id not in limits.exhausted
        and tracker.stats(each.endpoint_id).down_until_s <= now_s
    ]


def suspect_domains(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    tracker: trackers.EndpointTracker,
    now_s: float,
) -> set[str]:
    """Return the failure domains of which several candidates are down."""
    lost = collections.Counter(
        each.failure_domain
        for each in candidates
        if tracker.stats(each.endpoint_id).down_until_s > now_s
    )
    return {
        domain for domain, count in lost.items() if count >= SUSPECT_LOSSES
    }


def call_cost(
    endpoint: endpoints.FleetEndpoint,
    stats: trackers.EndpointStats,
    own_domain: str,
    now_s: float,
    work_factor: float = 1.0,
) -> float:
    """Return the cost of one more call: the occupied share of slots.

    :param work_factor: factor of the time that calls take there; it applies
        to the calls before this one and to this one.
    """
    busy = float(stats.calls)
    if stats.load is not None and now_s < stats.load_valid_until_s:
        busy = max(busy, stats.load.running + stats.load.waiting)
    domain_cost = (
        CROSS_DOMAIN_CALL_COST
        if endpoint.failure_domain != own_domain
        else 0.0
    )
    extra = (work_factor - 1.0) * (busy + 1.0)
    return (busy + extra + domain_cost) / endpoint.slots


class RankedCost(NamedTuple):
    """Cost of one more request at an endpoint.

    :param rank: a lower rank comes first, whatever the cost.
    """

    rank: int
    cost: float
    endpoint: endpoints.FleetEndpoint


def call_costs(
    usable: abc.Iterable[endpoints.FleetEndpoint],
    tracker: trackers.EndpointTracker,
    own_domain: str,
    now_s: float,
    limits: views.LimitView = NO_LIMITS,
    work: WorkFactor | None = None,
) -> list[RankedCost]:
    """Return what one more call costs at each endpoint.

    Endpoints with a limit follow those that have a slot to spare.

    :param work: None if the service states no pace.
    """

    def ranked(each: endpoints.FleetEndpoint) -> RankedCost:
        stats = tracker.stats(each.endpoint_id)
        occupied = call_cost(each, stats, own_domain, now_s)
        cost = (
            call_cost(each, stats, own_domain, now_s, work(each))
            if work
            else occupied
        )
        return RankedCost(_call_rank(each, occupied, limits), cost, each)

    return [ranked(each) for each in usable]


def choose_call(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    tracker: trackers.EndpointTracker,
    tried: abc.Set[str],
    own_domain: str,
    now_s: float,
    rng: random.Random,
    limits: views.LimitView = NO_LIMITS,
    work: WorkFactor | None = None,
) -> endpoints.FleetEndpoint | None:
    """Choose the endpoint of a plain call.

    Load pattern: several entries share a few endpoints with 6 slots each.
    The cost follows from own calls in flight and the last reported load.
    Ties are broken at random, so that entries choose different endpoints.

    :param work: None if the service states no pace.
    """
    usable = preferred(candidates, tracker, tried, now_s, limits)
    costs = call_costs(usable, tracker, own_domain, now_s, limits, work)
    return min(
        ((rank, cost, rng.random(), each) for rank, cost, each in costs),
        default=(0, 0.0, 0.0, None),
    )[3]


def _call_rank(
    endpoint: endpoints.FleetEndpoint, cost: float, limits: views.LimitView
) -> int:
    if endpoint.endpoint_id in limits.unconfirmed:
        return 0
    if endpoint.endpoint_id in limits.limited:
        return 2
    return 1 if cost < 1.0 else 3


def stream_cost(
    endpoint: endpoints.FleetEndpoint,
    stats: trackers.EndpointStats,
    remote_placements: Placements,
    own_domain: str,
    work_factor: float = 1.0,
) -> float:
    """Return the cost of one more stream, in equivalent streams.

    :param work_factor: factor of the time that streams take there; it
        applies to the load and to the added stream.
    """
    domain_cost = (
        CROSS_DOMAIN_STREAM_COST
        if endpoint.failure_domain != own_domain
        else 0.0
    )
    load = (
        stats.streams
        + remote_placements.streams
        + STARTING_COST * (stats.starting + remote_placements.starting)
        + BACKUP_COST * (stats.backups + remote_placements.backups)
    )
    extra = (work_factor - 1.0) * (load + ADDED_STREAM_COST)
    return load + extra + domain_cost


def _least_cost(
    costs: abc.Sequence[RankedCost],
    rng: random.Random,
    near_tie: float,
) -> endpoints.FleetEndpoint | None:
    """Return an endpoint of the least cost, or of about that, at random.

    :param near_tie: difference of costs that counts as none.
    """
    keyed = [(*each, rng.random()) for each in costs]
    best_rank, best_cost = min((each[:2] for each in keyed), default=(0, 0.0))
    return min(
        (
            (draw, endpoint)
            for rank, cost, endpoint, draw in keyed
            if rank == best_rank and cost <= best_cost + near_tie
        ),
        default=(0.0, None),
    )[1]


def stream_costs(
    usable: abc.Iterable[endpoints.FleetEndpoint],
    tracker: trackers.EndpointTracker,
    remote_placements: RemotePlacements,
    own_domain: str,
    session_endpoint: str | None = None,
    limits: views.LimitView = NO_LIMITS,
    work: WorkFactor | None = None,
    savings: Savings | None = None,
) -> list[RankedCost]:
    """Return what one more stream costs at each endpoint.

    The parameters are those of ``choose_stream``.
    """
    return [
        RankedCost(
            int(each.endpoint_id not in limits.unconfirmed),
            stream_cost(
                each,
                tracker.stats(each.endpoint_id),
                remote_placements.get(each.endpoint_id, Placements()),
                own_domain,
                work(each) if work else 1.0,
            )
            + LIMITED_STREAM_COST * (each.endpoint_id in limits.limited)
            - stream_saving(each, session_endpoint, savings),
            each,
        )
        for each in usable
    ]


def stream_saving(
    endpoint: endpoints.FleetEndpoint,
    session_endpoint: str | None,
    savings: Savings | None,
) -> float:
    """Return what a prompt that an endpoint has cached saves, in streams."""
    if savings is None:
        return SESSION_SAVING * (endpoint.endpoint_id == session_endpoint)
    return savings(endpoint)


def choose_stream(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    tracker: trackers.EndpointTracker,
    remote_placements: RemotePlacements,
    tried: abc.Set[str],
    own_domain: str,
    now_s: float,
    rng: random.Random,
    session_endpoint: str | None = None,
    limits: views.LimitView = NO_LIMITS,
    work: WorkFactor | None = None,
    savings: Savings | None = None,
) -> endpoints.FleetEndpoint | None:
    """Choose the endpoint of a stream.

    Load pattern: each entry starts a stream every two seconds with a prompt
    of 8,000 tokens, whose processing takes a second. Two prompts at one
    endpoint make both streams late, so streams of other entries count like
    own ones.

    On shared machines some endpoints have half the speed of others. A stream
    there takes twice as long and meets more crashes.

    :param session_endpoint: endpoint that processed the prompt before.
    :param work: None if the service states no pace.
    :param savings: replaces the saving there; used where pace is stated.
    """
    usable = preferred(candidates, tracker, tried, now_s, limits)
    costs = stream_costs(
        usable,
        tracker,
        remote_placements,
        own_domain,
        session_endpoint,
        limits,
        work,
        savings,
    )
    return _least_cost(costs, rng, NEAR_TIE if work else 0.0)


def choose_backup(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    running: endpoints.FleetEndpoint,
    tracker: trackers.EndpointTracker,
    remote_placements: RemotePlacements,
    now_s: float,
    rng: random.Random,
    limits: views.LimitView = NO_LIMITS,
    work: WorkFactor | None = None,
) -> endpoints.FleetEndpoint | None:
    """Choose the endpoint that keeps the backup of a stream's memory.

    Load pattern: all endpoints of a failure domain crash or become
    unresponsive at once. The backup is kept in another one if possible, and
    where the stream can go on without a permit.
    """
    usable = preferred(candidates, tracker, {running.endpoint_id}, now_s)
    other_domains = [
        each
        for each in usable
        if each.failure_domain != running.failure_domain
    ]
    costs = [
        RankedCost(
            int(each.endpoint_id in limits.limited),
            stream_cost(
                each,
                tracker.stats(each.endpoint_id),
                remote_placements.get(each.endpoint_id, Placements()),
                each.failure_domain,
                work(each) if work else 1.0,
            ),
            each,
        )
        for each in other_domains or usable
    ]
    return _least_cost(costs, rng, NEAR_TIE if work else 0.0)
