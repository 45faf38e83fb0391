"""Share of the new version and the replicas that carry it."""

from __future__ import annotations

from collections.abc import Sequence
import hashlib
import itertools
import math
from typing import NamedTuple

from godwitvalve.moves import evidence
from godwitvalve.moves import move
from godwitvalve.moves import watch
from godwitvalve.routing import endpoint

# The share stays at or below this until the new version has a record.
SMALL_SHARE = 0.05
# Mean share of the small phase; the rest is room for chance.
_MEAN_SHARE = 0.04
# Share between two pulses.
_BASE_SHARE = 0.015
# Parts of the time asked for: earliest and latest start of the ramp, end
# of the ramp, and when doubts below the limit stop holding the share.
_RAMP_EARLIEST = 0.4
_RAMP_LATEST = 0.55
_RAMP_END = 0.9
_HOLD_END = 0.8
# Part after which a sign no longer lowers the share before ``done_by``.
_SIGNS_END = 0.97
# Share at which a sign or a doubt is examined: one failure tells most if
# few of the compared requests went to the new version.
_TEST_SHARE = 0.25
_ENOUGH_ATTEMPTS = 50
_ENOUGH_ENDPOINTS = 2
_DOUBT = 20.0


class ShareDecision(NamedTuple):
    """Share of the new version now.

    :param replicas: endpoint ids of the new version that carry it.
    """

    share: float
    replicas: tuple[str, ...]
    reason: str


def plan_share(
    moving: move.Move,
    new_endpoints: Sequence[endpoint.Endpoint],
    old_replicas: int,
    seen: watch.MoveWatch,
    now_wall_s: float,
    verdict: move.Verdict = move.Verdict.MOVING,
) -> ShareDecision:
    """Return the share in force now.

    :param new_endpoints: live endpoints of the new version.
    :param old_replicas: number of live endpoints of the old version.
    :param verdict: what is known of the move's end.
    """
    if verdict is move.Verdict.TAKEN_BACK:
        return ShareDecision(0.0, (), 'taken back')
    if not new_endpoints:
        return ShareDecision(0.0, (), 'the new version has no endpoint')
    order = _spread(moving, new_endpoints)
    if not old_replicas:
        return ShareDecision(1.0, order, 'the old version has no endpoint')
    if now_wall_s < moving.started_wall_s:
        return ShareDecision(0.0, (), 'not started')
    part = moving.fraction(now_wall_s)
    if verdict is move.Verdict.MOVING and not _ramping(seen, part):
        return _small(moving, order, old_replicas, now_wall_s)
    share, reason = _ramp(seen, part, verdict), 'ramp'
    if share > _TEST_SHARE and _examine(seen, part, verdict, now_wall_s):
        share, reason = _TEST_SHARE, 'a change is examined'
    carriers = max(math.ceil(share * old_replicas - 1e-9), 2)
    if share >= 1.0:
        carriers = len(order)
    return ShareDecision(share, order[:carriers], reason)


def _ramping(seen: watch.MoveWatch, part: float) -> bool:
    if seen.ramp_from is not None:
        return True
    if part < _RAMP_EARLIEST:
        return False
    if seen.moving.fraction(seen.began_wall_s) >= _RAMP_EARLIEST:
        # This entry started later; the others judged the small phase.
        seen.ramp_from = _RAMP_EARLIEST
        return True
    enough = (
        seen.new_attempts >= _ENOUGH_ATTEMPTS
        and len(seen.new_endpoints) >= _ENOUGH_ENDPOINTS
        and seen.doubt() < _DOUBT
    )
    if not enough and part < _RAMP_LATEST:
        return False
    seen.ramp_from = min(part, _RAMP_LATEST)
    return True


def _ramp(seen: watch.MoveWatch, part: float, verdict: move.Verdict) -> float:
    if verdict is move.Verdict.DONE or part >= _RAMP_END:
        return 1.0
    begin = _RAMP_EARLIEST if seen.ramp_from is None else seen.ramp_from
    climbed = (part - begin) / (_RAMP_END - begin)
    return SMALL_SHARE + (1.0 - SMALL_SHARE) * max(climbed, 0.0)


def _examine(
    seen: watch.MoveWatch,
    part: float,
    verdict: move.Verdict,
    now_wall_s: float,
) -> bool:
    if verdict is move.Verdict.DONE:
        return seen.has_sign(now_wall_s)
    if part < _HOLD_END and seen.doubt() >= _DOUBT:
        return True
    return part < _SIGNS_END and seen.has_sign(now_wall_s)


def _small(
    moving: move.Move,
    order: tuple[str, ...],
    old_replicas: int,
    now_wall_s: float,
) -> ShareDecision:
    """Return the share of the small phase.

    If one replica at the load of an old one already exceeds the mean
    share, it gets that load in short pulses, each on another replica.
    """
    alone = 1.0 / old_replicas
    if alone <= _MEAN_SHARE:
        carriers = max(int(_MEAN_SHARE * old_replicas), 1)
        carriers = min(carriers, len(order))
        share = min(_MEAN_SHARE, carriers * alone)
        return ShareDecision(share, order[:carriers], 'small share')
    step_s = evidence.BUCKET_S
    pulse = math.ceil(moving.pulse_s / step_s)
    above = (alone - _BASE_SHARE) / (_MEAN_SHARE - _BASE_SHARE)
    period = math.ceil(pulse * above)
    began = math.ceil(moving.started_wall_s / step_s)
    steps = evidence.bucket_of(now_wall_s) - began
    turn, step = divmod(steps, period)
    rotated = order[turn % len(order) :] + order[: turn % len(order)]
    if step >= period - pulse:
        return ShareDecision(alone, rotated[:1], 'small share, pulse')
    return ShareDecision(_BASE_SHARE, rotated[:2], 'small share')


def _spread(
    moving: move.Move, endpoints: Sequence[endpoint.Endpoint]
) -> tuple[str, ...]:
    """Return endpoint ids in an order that alternates failure domains."""

    def place(one: endpoint.Endpoint) -> bytes:
        joined = f'{moving.move_id} {one.endpoint_id}'.encode()
        return hashlib.blake2b(joined, digest_size=8).digest()

    by_domain: dict[str, list[str]] = {}
    for one in sorted(endpoints, key=place):
        by_domain.setdefault(one.failure_domain, []).append(one.endpoint_id)
    rounds = itertools.zip_longest(*by_domain.values())
    return tuple(name for turn in rounds for name in turn if name)
