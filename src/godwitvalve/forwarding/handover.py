"""Decides which of two endpoints goes on with a stream.

A stream at a silent endpoint is offered to a successor, which may decline
it: the free memory of an endpoint is not known here. The silent endpoint
keeps its request until the successor has accepted. Performs no input or
output.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

# A request may not be worked on at two endpoints 400 ms after it went on at
# the second one. This leaves one poll period and 100 ms for the reset to
# arrive. Endpoints decline at once, so a later answer is no decline.
OVERLAP_S = 0.25


@dataclasses.dataclass(frozen=True)
class Connecting:
    """Nothing was sent to the successor yet."""


@dataclasses.dataclass(frozen=True)
class Sent:
    """The successor has the request and sent no head yet.

    :param until_s: end of the time with two endpoints.
    """

    until_s: float


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The head of a stream came."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """The successor sent no head of a stream and does not run it any more.

    It declined, answered with an error, or its connection ended.
    """


SuccessorState: TypeAlias = Connecting | Sent | Accepted | Failed


class Step(enum.Enum):
    """What follows; the other endpoint's request ends at once."""

    WAIT = enum.auto()
    STAY = enum.auto()
    MOVE = enum.auto()


def decide(
    successor: SuccessorState, has_new_event: bool, now_s: float
) -> Step:
    """Return where a stream goes on that was offered to a successor.

    :param has_new_event: whether the silent endpoint sent a new event.
    """
    match successor:
        case Accepted():
            return Step.MOVE
        case Failed():
            return Step.STAY
        case _ if has_new_event:
            return Step.STAY
        case Sent(until_s) if now_s >= until_s:
            return Step.MOVE
        case _:
            return Step.WAIT
