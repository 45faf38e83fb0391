"""The move of a service's traffic to a new version, and its verdicts."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
from typing import NamedTuple, TypeAlias

# Long enough for a replica of a plain service to reach its usual load, and
# short enough that few requests fail in a pulse if the version does.
PLAIN_PULSE_S = 2.0
# A model replica reaches its usual load only after several generations.
MODEL_PULSE_S = 30.0


class Move(NamedTuple):
    """A shift of a service's traffic; every entry computes the same one.

    :param pulse_s: seconds for which one new replica receives the load of
        an old one while the share is small.
    """

    service: str
    old_version: str
    new_version: str
    move_id: str
    started_wall_s: float
    done_by_wall_s: float
    pulse_s: float = PLAIN_PULSE_S

    def fraction(self, now_wall_s: float) -> float:
        """Return the fraction of the planned time that has passed."""
        length_s = max(self.done_by_wall_s - self.started_wall_s, 1e-6)
        return (now_wall_s - self.started_wall_s) / length_s


def move_id(service: str, version: str, digest: str) -> str:
    """Return the id of a move to a version with this text digest."""
    joined = '\0'.join((service, version, digest)).encode()
    return hashlib.blake2b(joined, digest_size=12).hexdigest()


class Verdict(enum.IntEnum):
    """State of a move; the greatest of several verdicts holds."""

    MOVING = 0
    DONE = 1
    TAKEN_BACK = 2


@dataclasses.dataclass(frozen=True)
class Continue:
    """The move continues."""

    reason: str


@dataclasses.dataclass(frozen=True)
class TakeBack:
    """All traffic returns to the old version."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Done:
    """The new version receives all traffic."""

    reason: str


Judgement: TypeAlias = Continue | TakeBack | Done
