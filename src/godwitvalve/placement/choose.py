"""Choice of the endpoint of a call or stream and of a stream's backup."""

from __future__ import annotations

import collections
from collections import abc
import random
from typing import NamedTuple

from godwitvalve.fleet import endpoints
from godwitvalve.placement import tracker as trackers

# Endpoints of a failure domain that are lost at the same time; single
# crashes are rare beside those of a zone.
SUSPECT_LOSSES = 2
# A call to another zone costs 2 ms, a busy slot about 45 ms.
CROSS_DOMAIN_CALL_COST = 0.3
# A prompt is read for about a second and slows every stream beside it.
STARTING_COST = 2.0
# A kept copy takes memory but no step time.
BACKUP_COST = 0.3
CROSS_DOMAIN_STREAM_COST = 0.1
# An endpoint that has read the prompt saves a second of its time; one with
# more streams than this beside it would delay all of them.
SESSION_SAVING = 3.0


class Placements(NamedTuple):
    """Streams at an endpoint that other entries told of."""

    streams: int = 0
    starting: int = 0
    backups: int = 0


RemotePlacements = abc.Mapping[str, Placements]


def _preferred(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    tracker: trackers.EndpointTracker,
    tried: abc.Set[str],
    now_s: float,
) -> list[endpoints.FleetEndpoint]:
    """Return untried candidates, the soundest kind that there is.

    Load pattern: a whole zone of 18 endpoints crashes. A stream that asks
    one after the other is late; two lost ones put the rest of their
    failure domain behind the others. The last candidates are never all
    left out.
    """
    untried = [each for each in candidates if each.endpoint_id not in tried]
    sound = [
        each
        for each in untried
        if tracker.stats(each.endpoint_id).ejected_until_s <= now_s
    ]
    suspect = _suspect_domains(candidates, tracker, now_s)
    apart = [each for each in sound if each.failure_domain not in suspect]
    return apart or sound or untried


def _suspect_domains(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    tracker: trackers.EndpointTracker,
    now_s: float,
) -> set[str]:
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
) -> float:
    """Return the cost of one more call, about busy shares of its slots."""
    busy = float(stats.calls)
    if stats.load is not None and now_s < stats.load_valid_until_s:
        busy = max(busy, stats.load.running + stats.load.waiting)
    domain_cost = (
        CROSS_DOMAIN_CALL_COST
        if endpoint.failure_domain != own_domain
        else 0.0
    )
    return (busy + domain_cost) / endpoint.slots


def choose_call(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    tracker: trackers.EndpointTracker,
    tried: abc.Set[str],
    own_domain: str,
    now_s: float,
    rng: random.Random,
) -> endpoints.FleetEndpoint | None:
    """Choose the endpoint of a plain call.

    Load pattern: several entries see the same few endpoints with 6 slots.
    Own calls under way and the last reported load decide; ties are random,
    so that entries do not all pick the same one.
    """
    usable = _preferred(candidates, tracker, tried, now_s)
    return min(
        usable,
        key=lambda each: (
            call_cost(
                each, tracker.stats(each.endpoint_id), own_domain, now_s
            ),
            rng.random(),
        ),
        default=None,
    )


def stream_cost(
    endpoint: endpoints.FleetEndpoint,
    stats: trackers.EndpointStats,
    remote_placements: Placements,
    own_domain: str,
) -> float:
    """Return the cost of one more stream at an endpoint."""
    domain_cost = (
        CROSS_DOMAIN_STREAM_COST
        if endpoint.failure_domain != own_domain
        else 0.0
    )
    return (
        stats.streams
        + remote_placements.streams
        + STARTING_COST * (stats.starting + remote_placements.starting)
        + BACKUP_COST * (stats.backups + remote_placements.backups)
        + domain_cost
    )


def choose_stream(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    tracker: trackers.EndpointTracker,
    remote_placements: RemotePlacements,
    tried: abc.Set[str],
    own_domain: str,
    now_s: float,
    rng: random.Random,
    session_endpoint: str | None = None,
) -> endpoints.FleetEndpoint | None:
    """Choose the endpoint of a stream.

    Load pattern: prompts of 8,000 tokens, each read for a second, from
    entries that each start one every two seconds. Two on one endpoint make
    both late, so the streams of other entries count like own ones.

    :param session_endpoint: endpoint that read the prompt before.
    """
    usable = _preferred(candidates, tracker, tried, now_s)
    return min(
        usable,
        key=lambda each: (
            stream_cost(
                each,
                tracker.stats(each.endpoint_id),
                remote_placements.get(each.endpoint_id, Placements()),
                own_domain,
            )
            - SESSION_SAVING * (each.endpoint_id == session_endpoint),
            rng.random(),
        ),
        default=None,
    )


def choose_backup(
    candidates: abc.Sequence[endpoints.FleetEndpoint],
    running: endpoints.FleetEndpoint,
    tracker: trackers.EndpointTracker,
    remote_placements: RemotePlacements,
    now_s: float,
    rng: random.Random,
) -> endpoints.FleetEndpoint | None:
    """Choose the endpoint that keeps a copy of a stream's memory.

    Load pattern: all endpoints of a zone crash or fall silent at once. The
    copy is kept in another failure domain if there is one.
    """
    usable = _preferred(candidates, tracker, {running.endpoint_id}, now_s)
    apart = [
        each
        for each in usable
        if each.failure_domain != running.failure_domain
    ]
    return min(
        apart or usable,
        key=lambda each: (
            stream_cost(
                each,
                tracker.stats(each.endpoint_id),
                remote_placements.get(each.endpoint_id, Placements()),
                each.failure_domain,
            ),
            rng.random(),
        ),
        default=None,
    )
