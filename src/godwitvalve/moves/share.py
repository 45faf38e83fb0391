"""Share of the new version and the replicas that carry it."""

from __future__ import annotations

from collections.abc import Sequence
import functools
import hashlib
import itertools
import math
from typing import NamedTuple

from godwitvalve.moves import evidence_rows
from godwitvalve.moves import monitoring
from godwitvalve.moves import move
from godwitvalve.routing import endpoint

# The share stays at or below this until the new version has a record.
SMALL_SHARE = 0.05
# Mean share of the small phase; the rest is room for chance.
_MEAN_SHARE = 0.04
# Share between two pulses.
_BASE_SHARE = 0.015
# Parts of the time asked for: earliest and latest start of the ramp, end
# of the ramp, and when doubts below the limit stop holding the share.
_RAMP_EARLIEST = 0.45
_RAMP_LATEST = 0.55
_RAMP_END = 0.9
_HOLD_END = 0.9
# Part after which a sign no longer lowers the share before ``done_by``.
_SIGNS_END = 0.97
# Share at which a sign or a doubt is examined, if one replica at the load of
# an old one carries no more: a failure tells most if few of the compared
# requests went to the new version.
_TEST_SHARE = 0.15
# Share at which a doubt below the limit of proof is examined: a fault that is
# so mild needs many requests of both versions.
_DOUBT_SHARE = 0.35
# While something is examined, carriers change sooner than a pulse ends, so
# that the evidence does not rest on one endpoint.
_QUICK_TURNS = 10
_GOLDEN = 0.6180339887498949
_ENOUGH_ATTEMPTS = 50
_ENOUGH_ENDPOINTS = 2


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
    seen: monitoring.MoveMonitor,
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
    order = _spread(moving.move_id, tuple(new_endpoints))
    if not old_replicas:
        return ShareDecision(1.0, order, 'the old version has no endpoint')
    if now_wall_s < moving.started_wall_s:
        return ShareDecision(0.0, (), 'not started')
    part = moving.fraction(now_wall_s)
    if verdict is move.Verdict.MOVING and not _ramping(seen, part):
        return _small(moving, order, old_replicas, now_wall_s)
    share, reason = _ramp(seen, part, verdict), 'ramp'
    turn = _turn(moving, now_wall_s)
    limit, why = _examined(seen, part, verdict, now_wall_s)
    test = max(round(limit * old_replicas), _fewest(old_replicas))
    quick = _turn(moving, now_wall_s, _QUICK_TURNS)
    if limit < share and limit == _TEST_SHARE and seen.symptom_count() % 2:
        return ShareDecision(limit, _rotated(order, quick)[:test], why)
    if share > max(limit, test / old_replicas):
        return _full_load(test, order, old_replicas, quick, why)
    if share >= 1.0:
        return ShareDecision(1.0, order, reason)
    # Carriers always have the load of an old replica. So the share is a
    # multiple of what one of them takes, and changes between two of these
    # to reach the wanted one on average.
    wanted = share * old_replicas
    carriers = int(wanted + (turn * _GOLDEN) % 1.0)
    if not carriers:
        return ShareDecision(_BASE_SHARE, _rotated(order, turn)[:2], reason)
    return _full_load(carriers, order, old_replicas, turn, reason)


def _fewest(old_replicas: int) -> int:
    """Return how many carriers an examination needs at least.

    Two show sooner that a fault is not one endpoint's own, where they do
    not take too large a share.
    """
    return 2 if 2 / old_replicas <= _DOUBT_SHARE else 1


def _turn(moving: move.Move, now_wall_s: float, turns_a_pulse: int = 1) -> int:
    """Return the number of the current period of one set of carriers."""
    length_s = max(moving.pulse_s / turns_a_pulse, move.PLAIN_PULSE_S)
    return int((now_wall_s - moving.started_wall_s) // length_s)


def _rotated(order: tuple[str, ...], turn: int) -> tuple[str, ...]:
    first = turn % len(order)
    return order[first:] + order[:first]


def _full_load(
    carriers: int,
    order: tuple[str, ...],
    old_replicas: int,
    turn: int,
    reason: str,
) -> ShareDecision:
    """Give some replicas, others in each turn, the load of an old one."""
    share = min(carriers / old_replicas, 1.0)
    return ShareDecision(share, _rotated(order, turn)[:carriers], reason)


def _ramping(seen: monitoring.MoveMonitor, part: float) -> bool:
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
    )
    if not enough and part < _RAMP_LATEST:
        return False
    seen.ramp_from = min(part, _RAMP_LATEST)
    return True


def _ramp(
    seen: monitoring.MoveMonitor, part: float, verdict: move.Verdict
) -> float:
    if verdict is move.Verdict.DONE or part >= _RAMP_END:
        return 1.0
    begin = _RAMP_EARLIEST if seen.ramp_from is None else seen.ramp_from
    climbed = (part - begin) / (_RAMP_END - begin)
    return SMALL_SHARE + (1.0 - SMALL_SHARE) * max(climbed, 0.0)


def _examined(
    seen: monitoring.MoveMonitor,
    part: float,
    verdict: move.Verdict,
    now_wall_s: float,
) -> tuple[float, str]:
    """Return the greatest share that the evidence allows, and why."""
    done = verdict is move.Verdict.DONE
    if (done or part < _SIGNS_END) and seen.has_symptom(now_wall_s):
        return _TEST_SHARE, 'a change is examined'
    if (
        not done
        and part < _HOLD_END
        and seen.suspicion() >= monitoring.SUSPICION_E_VALUE
    ):
        return _DOUBT_SHARE, 'a doubt is examined'
    return 1.0, ''


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
    step_s = evidence_rows.BUCKET_S
    pulse = math.ceil(moving.pulse_s / step_s)
    above = (alone - _BASE_SHARE) / (_MEAN_SHARE - _BASE_SHARE)
    period = math.ceil(pulse * above)
    began = math.ceil(moving.started_wall_s / step_s)
    steps = evidence_rows.bucket_of(now_wall_s) - began
    turn, step = divmod(steps, period)
    if step >= period - pulse:
        return _full_load(1, order, old_replicas, turn, 'small share, pulse')
    return ShareDecision(_BASE_SHARE, _rotated(order, turn)[:2], 'small share')


@functools.lru_cache(maxsize=64)
def _spread(
    move_id: str, endpoints: tuple[endpoint.Endpoint, ...]
) -> tuple[str, ...]:
    """Return endpoint ids in an order that alternates failure domains."""

    def place(one: endpoint.Endpoint) -> bytes:
        joined = f'{move_id} {one.endpoint_id}'.encode()
        return hashlib.blake2b(joined, digest_size=8).digest()

    by_domain: dict[str, list[str]] = {}
    for one in sorted(endpoints, key=place):
        by_domain.setdefault(one.failure_domain, []).append(one.endpoint_id)
    rounds = itertools.zip_longest(*by_domain.values())
    return tuple(name for turn in rounds for name in turn if name)
