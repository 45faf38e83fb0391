"""Which version serves a service, and which one its traffic moves to."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from godwitvalve.configuration import in_force
from godwitvalve.moves import move

# Pulse by kind of service; see ``move.Move.pulse_s``.
_PULSE_S = {'plain': move.PLAIN_PULSE_S, 'model': move.MODEL_PULSE_S}


class Succession(NamedTuple):
    """Versions of a service that receive new requests.

    :param serving: version that has the traffic.
    :param moving: the move to monitor: a running one, or one that is done
        while the old version is not retired.
    """

    serving: in_force.VersionInForce
    moving: move.Move | None


def _move(
    service: in_force.ServiceInForce,
    old: in_force.VersionInForce,
    new: in_force.VersionInForce,
) -> move.Move:
    assert new.done_by_wall_s is not None
    return move.Move(
        service.name,
        old.name,
        new.name,
        new.move_id,
        new.started_wall_s,
        new.done_by_wall_s,
        _PULSE_S[service.kind],
    )


def find(
    service: in_force.ServiceInForce,
    verdict_of: Callable[[str], move.Verdict],
    is_ready: Callable[[in_force.VersionInForce], bool],
) -> Succession | None:
    """Return the versions that new requests of a service may use.

    Traffic moves to the newest version that is not taken back and whose
    dependencies and weights are available. The old version is the newest
    one before it whose move is done, or else the first one.

    :param verdict_of: verdict by move id.
    :param is_ready: whether a version may take its first request.
    :returns: None if every version is retired.
    """
    usable = [item for item in service.versions if not item.text.retire]
    if not usable:
        return None
    serving, *later = usable
    moving: move.Move | None = None
    for version in later:
        if version.done_by_wall_s is None:
            continue
        verdict = verdict_of(version.move_id)
        if verdict is move.Verdict.DONE:
            moving = _move(service, serving, version)
            serving = version
        elif verdict is move.Verdict.MOVING and is_ready(version):
            moving = _move(service, serving, version)
    return Succession(serving, moving)
