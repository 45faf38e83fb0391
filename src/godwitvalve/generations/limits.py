"""Bounds of the relay."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.generations import gaps


class RelayLimits(NamedTuple):
    """Bounds of the relay; times in seconds.

    The sum of an idle time-out, a stream resume and a start on another
    endpoint stays below 3 s. The first attempt has more time than one after
    a loss: a loaded engine is slow to accept an order, and another attempt
    would add to its load.
    """

    gap: gaps.GapLimits = gaps.GapLimits()
    first_event_s: float = 1.0
    stream_resume_s: float = 0.5
    max_attempts: int = 8
    resume_validity_s: float = 3600.0
    first_attempt_s: float = 2.0
