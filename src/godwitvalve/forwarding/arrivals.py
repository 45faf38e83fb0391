"""Bounds when bytes that are read now have arrived."""

from __future__ import annotations

import asyncio
from collections import abc
import math

from godwitvalve import clock

# The search for a restarted endpoint lasts under 2 s and is shortened by up to
# two of these periods.
POLL_PERIOD_S = 0.1


class ArrivalBound:
    """Time since which all bytes have arrived that are read now.

    Load pattern: the process is stopped, its machine is suspended, or one
    callback computes for long. The bytes that are read after that may be as
    old as the pause, so that the time of the read does not show that their
    sender lived then.

    The event loop polls all sockets between two periodic calls, and reads
    what has arrived. What it reads after the second call has arrived after
    the first one.

    :param clock_s: seconds of a clock that counts suspensions.
    """

    def __init__(
        self, clock_s: abc.Callable[[], float] = clock.since_boot_s
    ) -> None:
        self._clock_s = clock_s
        self._recorded_s = -math.inf
        self.bound_s = -math.inf

    def record_poll(self) -> None:
        """Record that the event loop has polled its sockets."""
        self.bound_s, self._recorded_s = self._recorded_s, self._clock_s()

    async def run(self) -> None:
        """Record polls until it is cancelled."""
        while True:
            self.record_poll()
            await asyncio.sleep(POLL_PERIOD_S)


# Shared by all connections of the process.
PROCESS = ArrivalBound()
