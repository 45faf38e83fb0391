"""Clocks passed to code that needs the time, so that tests can set it."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time in seconds."""

    def monotonic_s(self) -> float:
        """Return monotonic seconds, comparable inside one process only."""

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Clock of the running machine."""

    def monotonic_s(self) -> float:
        """Return monotonic seconds, comparable inside one process only."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
