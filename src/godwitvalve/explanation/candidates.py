"""Lists the endpoints of a service with their costs, or why not.

Load pattern: under hard load a request goes to an endpoint that looks wrong
from outside, as speeds, reports of other entries and cached prompts count.
Costs and the order come from ``placement/choose.py``. Performs no input or
output.
"""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

from godwitvalve.admission import decision
from godwitvalve.admission import room as rooms_model
from godwitvalve.endpoint_limits import view as views
from godwitvalve.explanation import model
from godwitvalve.fleet import endpoints
from godwitvalve.placement import choose
from godwitvalve.placement import tracker as trackers

DIGITS = 3


class Situation(NamedTuple):
    """What an entry knows about the endpoints of a service.

    :param listed: all endpoints of the service.
    :param states: what the registry knows of each, by endpoint id.
    :param old_version: endpoints that a retried request may go to.
    :param new_version: those that a share of requests goes to.
    :param tracker: statistics that belong to the explanation alone.
    :param rooms: where room for the stream is measured.
    :param bound_s: objective that the room is measured by, in seconds.
    """

    is_stream: bool
    now_s: float
    own_domain: str
    listed: abc.Collection[endpoints.FleetEndpoint]
    states: abc.Mapping[str, str]
    old_version: abc.Sequence[endpoints.FleetEndpoint]
    new_version: abc.Collection[endpoints.FleetEndpoint]
    tracker: trackers.EndpointTracker
    placements: choose.RemotePlacements
    limits: views.LimitView = choose.NO_LIMITS
    work: choose.WorkFactor | None = None
    session_endpoint: str | None = None
    savings: choose.Savings | None = None
    rooms: abc.Collection[rooms_model.EndpointRoom] = ()
    bound_s: float = 0.0

    def usable(self) -> list[endpoints.FleetEndpoint]:
        """Return the endpoints among which the entry chooses."""
        return choose.preferred(
            self.old_version, self.tracker, set(), self.now_s, self.limits
        )


def weigh(situation: Situation) -> tuple[model.Candidate, ...]:
    """Return the endpoints that a request may go to, the best first."""
    ranked = _ranked(situation)
    rooms = {each.endpoint_id: each for each in situation.rooms}
    reachable = set(decision.reachable_ids(situation.bound_s, rooms.values()))
    open_ids = {
        each.endpoint.endpoint_id
        for each in ranked
        if not rooms or each.endpoint.endpoint_id in reachable
    }
    best = min(
        (each[:2] for each in ranked if each.endpoint.endpoint_id in open_ids),
        default=(0, 0.0),
    )
    is_near = situation.is_stream and situation.work is not None
    tie = choose.NEAR_TIE if is_near else 0.0

    def candidate(each: choose.RankedCost) -> model.Candidate:
        endpoint = each.endpoint
        room = rooms.get(endpoint.endpoint_id)
        is_open = endpoint.endpoint_id in open_ids
        return model.Candidate(
            endpoint.endpoint_id,
            endpoint.address,
            endpoint.failure_domain,
            endpoint.version,
            each.rank,
            _parts(situation, each),
            round(_work_factor(situation, endpoint), DIGITS),
            is_open and each.rank == best[0] and each.cost <= best[1] + tie,
            '' if is_open else _obstacle(room),
            round(room.first_event_s, DIGITS) if room else None,
        )

    found = [candidate(each) for each in ranked]
    return tuple(
        sorted(
            found,
            key=lambda each: (
                bool(each.obstacle),
                each.rank,
                each.cost.total,
                each.endpoint_id,
            ),
        )
    )


def _ranked(situation: Situation) -> list[choose.RankedCost]:
    usable = situation.usable()
    if not situation.is_stream:
        return choose.call_costs(
            usable,
            situation.tracker,
            situation.own_domain,
            situation.now_s,
            situation.limits,
            situation.work,
        )
    return choose.stream_costs(
        usable,
        situation.tracker,
        situation.placements,
        situation.own_domain,
        situation.session_endpoint,
        situation.limits,
        situation.work,
        situation.savings,
    )


def _work_factor(
    situation: Situation, endpoint: endpoints.FleetEndpoint
) -> float:
    return situation.work(endpoint) if situation.work else 1.0


def _parts(situation: Situation, ranked: choose.RankedCost) -> model.Cost:
    """Return the parts of a cost, as differences of costs without them."""
    endpoint = ranked.endpoint

    def cost(own_domain: str, work_factor: float) -> float:
        stats = situation.tracker.stats(endpoint.endpoint_id)
        if not situation.is_stream:
            return choose.call_cost(
                endpoint, stats, own_domain, situation.now_s, work_factor
            )
        others = situation.placements.get(
            endpoint.endpoint_id, choose.Placements()
        )
        return choose.stream_cost(
            endpoint, stats, others, own_domain, work_factor
        )

    load = cost(endpoint.failure_domain, 1.0)
    near = cost(endpoint.failure_domain, _work_factor(situation, endpoint))
    domain = cost(situation.own_domain, 1.0) - load
    saving = limit = 0.0
    if situation.is_stream:
        saving = choose.stream_saving(
            endpoint, situation.session_endpoint, situation.savings
        )
        limit = ranked.cost + saving - near - domain
    return model.Cost(
        *(
            round(each, DIGITS) + 0.0
            for each in (
                ranked.cost,
                load,
                near - load,
                domain,
                limit,
                saving,
            )
        )
    )


def _obstacle(room: rooms_model.EndpointRoom | None) -> str:
    if room is None:
        return 'no room known'
    return 'prompts unread' if room.has_space else 'full'


def excluded(situation: Situation) -> tuple[model.Excluded, ...]:
    """Return the other endpoints of the service with the reasons."""
    used = {each.endpoint_id for each in situation.usable()}
    suspect = choose.suspect_domains(
        situation.old_version, situation.tracker, situation.now_s
    )
    old = {each.endpoint_id for each in situation.old_version}
    new = {each.endpoint_id for each in situation.new_version} - old

    def reason(endpoint: endpoints.FleetEndpoint) -> str:
        endpoint_id = endpoint.endpoint_id
        stats = situation.tracker.stats(endpoint_id)
        state = situation.states.get(endpoint_id, '')
        if endpoint_id in new:
            return 'new version, gets a share of requests'
        if endpoint_id not in old:
            return 'version of a roll-out' if state == 'listed' else state
        if endpoint_id in situation.limits.exhausted:
            return 'limit exhausted'
        if stats.down_until_s > situation.now_s:
            return 'down'
        if stats.ejected_until_s > situation.now_s:
            return 'ejected'
        if endpoint.failure_domain in suspect:
            return 'failure domain down'
        return 'others preferred'

    return tuple(
        model.Excluded(
            each.endpoint_id,
            each.address,
            each.failure_domain,
            reason(each),
        )
        for each in sorted(situation.listed, key=lambda each: each.endpoint_id)
        if each.endpoint_id not in used
    )
