"""Share of the new version, and the canaries that receive it."""

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

# The mean share stays at or below this before the ramp, which starts at it.
SMALL_SHARE = 0.05
# Mean share before the ramp; the difference allows for random variation.
_MEAN_SHARE = 0.04
# Share between two pulses.
_BASE_SHARE = 0.015
# Fractions of the planned time: earliest and latest start of the ramp, end of
# the ramp, and the time from which a suspicion no longer limits the share.
_RAMP_EARLIEST = 0.45
_RAMP_LATEST = 0.55
_RAMP_END = 0.9
_HOLD_END = 0.9
# Fraction from which a symptom no longer lowers the share of a running move.
_SYMPTOMS_END = 0.97
# Share at which a symptom is examined, unless the least number of canaries at
# the load of an old replica is a larger share. A failure is the stronger
# evidence the fewer of the compared requests went to the new version.
_TEST_SHARE = 0.15
# Share at which a suspicion is examined: a fault so mild that the evidence is
# not conclusive yet needs many requests of both versions.
_SUSPICION_SHARE = 0.35
# During an examination the canaries change several times per pulse, so that
# the evidence does not come from one endpoint only.
_TURNS_PER_PULSE = 10
_GOLDEN_RATIO_CONJUGATE = 0.6180339887498949
_ENOUGH_ATTEMPTS = 50
_ENOUGH_ENDPOINTS = 2


class ShareDecision(NamedTuple):
    """Share of the new version now.

    :param replicas: ids of the endpoints that receive it (canaries).
    """

    share: float
    replicas: tuple[str, ...]
    reason: str


def plan_share(
    moving: move.Move,
    new_endpoints: Sequence[endpoint.Endpoint],
    old_replicas: int,
    monitor: monitoring.MoveMonitor,
    now_wall_s: float,
    verdict: move.Verdict = move.Verdict.MOVING,
) -> ShareDecision:
    """Return the share that is in force now.

    :param new_endpoints: live endpoints of the new version.
    :param old_replicas: number of live endpoints of the old version.
    :param verdict: verdict that this entry knows.
    """
    if verdict is move.Verdict.TAKEN_BACK:
        return ShareDecision(0.0, (), 'taken back')
    if not new_endpoints:
        return ShareDecision(0.0, (), 'the new version has no endpoint')
    order = _alternate_domains(moving.move_id, tuple(new_endpoints))
    if not old_replicas:
        return ShareDecision(1.0, order, 'the old version has no endpoint')
    if now_wall_s < moving.started_wall_s:
        return ShareDecision(0.0, (), 'not started')
    fraction = moving.fraction(now_wall_s)
    if verdict is move.Verdict.MOVING and not _has_ramp_started(
        monitor, fraction
    ):
        return _small_share(moving, order, old_replicas, now_wall_s)
    share, reason = _ramp_share(monitor, fraction, verdict), 'ramp'
    turn = _turn(moving, now_wall_s)
    limit, limit_reason = _share_limit(monitor, fraction, verdict, now_wall_s)
    test = max(round(limit * old_replicas), _min_canaries(old_replicas))
    short_turn = _turn(moving, now_wall_s, _TURNS_PER_PULSE)
    if limit < share and limit == _TEST_SHARE and monitor.symptom_count() % 2:
        return ShareDecision(
            limit, _rotated(order, short_turn)[:test], limit_reason
        )
    if share > max(limit, test / old_replicas):
        return _full_load(test, order, old_replicas, short_turn, limit_reason)
    if share >= 1.0:
        return ShareDecision(1.0, order, reason)
    # A canary always receives the load of one old replica. So the share is a
    # multiple of that load, and alternates between two multiples to reach
    # the wanted share on average.
    wanted = share * old_replicas
    canaries = int(wanted + (turn * _GOLDEN_RATIO_CONJUGATE) % 1.0)
    if not canaries:
        return ShareDecision(_BASE_SHARE, _rotated(order, turn)[:2], reason)
    return _full_load(canaries, order, old_replicas, turn, reason)


def _min_canaries(old_replicas: int) -> int:
    """Return the least number of canaries during an examination.

    With two canaries a fault of a single endpoint is told apart sooner. One
    is used if two would be too large a share.
    """
    return 2 if 2 / old_replicas <= _SUSPICION_SHARE else 1


def _turn(
    moving: move.Move, now_wall_s: float, turns_per_pulse: int = 1
) -> int:
    """Return the number of the current period between canary changes."""
    length_s = max(moving.pulse_s / turns_per_pulse, move.PLAIN_PULSE_S)
    return int((now_wall_s - moving.started_wall_s) // length_s)


def _rotated(order: tuple[str, ...], turn: int) -> tuple[str, ...]:
    first = turn % len(order)
    return order[first:] + order[:first]


def _full_load(
    canaries: int,
    order: tuple[str, ...],
    old_replicas: int,
    turn: int,
    reason: str,
) -> ShareDecision:
    """Return a share that gives each canary the load of an old replica.

    The canaries change with each turn.
    """
    share = min(canaries / old_replicas, 1.0)
    return ShareDecision(share, _rotated(order, turn)[:canaries], reason)


def _has_ramp_started(
    monitor: monitoring.MoveMonitor, fraction: float
) -> bool:
    if monitor.ramp_from is not None:
        return True
    if fraction < _RAMP_EARLIEST:
        return False
    if monitor.moving.fraction(monitor.read_from_wall_s) >= _RAMP_EARLIEST:
        # This entry started later; the others have judged the time before.
        monitor.ramp_from = _RAMP_EARLIEST
        return True
    enough = (
        monitor.new_attempts >= _ENOUGH_ATTEMPTS
        and len(monitor.new_endpoints) >= _ENOUGH_ENDPOINTS
    )
    if not enough and fraction < _RAMP_LATEST:
        return False
    monitor.ramp_from = min(fraction, _RAMP_LATEST)
    return True


def _ramp_share(
    monitor: monitoring.MoveMonitor, fraction: float, verdict: move.Verdict
) -> float:
    if verdict is move.Verdict.DONE or fraction >= _RAMP_END:
        return 1.0
    begin = _RAMP_EARLIEST if monitor.ramp_from is None else monitor.ramp_from
    climbed = (fraction - begin) / (_RAMP_END - begin)
    return SMALL_SHARE + (1.0 - SMALL_SHARE) * max(climbed, 0.0)


def _share_limit(
    monitor: monitoring.MoveMonitor,
    fraction: float,
    verdict: move.Verdict,
    now_wall_s: float,
) -> tuple[float, str]:
    """Return the largest share that the evidence allows, and why."""
    done = verdict is move.Verdict.DONE
    if (done or fraction < _SYMPTOMS_END) and monitor.has_symptom(now_wall_s):
        return _TEST_SHARE, 'a change is examined'
    if (
        not done
        and fraction < _HOLD_END
        and monitor.suspicion() >= monitoring.SUSPICION_E_VALUE
    ):
        return _SUSPICION_SHARE, 'a doubt is examined'
    return 1.0, ''


def _small_share(
    moving: move.Move,
    order: tuple[str, ...],
    old_replicas: int,
    now_wall_s: float,
) -> ShareDecision:
    """Return the share before the ramp.

    If one canary at the load of an old replica exceeds the mean share,
    canaries receive that load one after another in short pulses.
    """
    full_load = 1.0 / old_replicas
    if full_load <= _MEAN_SHARE:
        canaries = max(int(_MEAN_SHARE * old_replicas), 1)
        canaries = min(canaries, len(order))
        share = min(_MEAN_SHARE, canaries * full_load)
        return ShareDecision(share, order[:canaries], 'small share')
    step_s = evidence_rows.BUCKET_S
    pulse = math.ceil(moving.pulse_s / step_s)
    above = (full_load - _BASE_SHARE) / (_MEAN_SHARE - _BASE_SHARE)
    period = math.ceil(pulse * above)
    began = math.ceil(moving.started_wall_s / step_s)
    steps = evidence_rows.bucket_of(now_wall_s) - began
    turn, step = divmod(steps, period)
    if step >= period - pulse:
        return _full_load(1, order, old_replicas, turn, 'small share, pulse')
    return ShareDecision(_BASE_SHARE, _rotated(order, turn)[:2], 'small share')


@functools.lru_cache(maxsize=64)
def _alternate_domains(
    move_id: str, endpoints: tuple[endpoint.Endpoint, ...]
) -> tuple[str, ...]:
    """Return endpoint ids in an order that alternates failure domains."""

    def sort_key(one: endpoint.Endpoint) -> bytes:
        joined = f'{move_id} {one.endpoint_id}'.encode()
        return hashlib.blake2b(joined, digest_size=8).digest()

    by_domain: dict[str, list[str]] = {}
    for one in sorted(endpoints, key=sort_key):
        by_domain.setdefault(one.failure_domain, []).append(one.endpoint_id)
    rounds = itertools.zip_longest(*by_domain.values())
    return tuple(name for turn in rounds for name in turn if name)
