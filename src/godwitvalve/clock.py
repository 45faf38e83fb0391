"""Clocks, passed as an argument so that tests can set the time."""

from __future__ import annotations

import time
from typing import Protocol


def since_boot_s() -> float:
    """Return seconds since the machine's start, with its suspensions.

    The monotonic clock stands still while a machine is suspended, and other
    machines go on.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(Protocol):
    """Source of time in seconds."""

    def monotonic_s(self) -> float:
        """Return monotonic seconds, comparable inside one process only."""

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic_s(self) -> float:
        """Return monotonic seconds, comparable inside one process only."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
