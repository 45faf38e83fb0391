"""Bounds when bytes that are read now have arrived, and were sent."""

from __future__ import annotations

import asyncio
from collections import abc
import math

from godwitvalve import clock

# The search for a restarted endpoint lasts under 2 s and is shortened by up to
# two of these periods.
POLL_PERIOD_S = 0.1
# Bytes that arrive after a longer pause may have been held up for as long. The
# pause includes the period above, and the time until a lost packet is sent
# again.
MAX_PAUSE_S = 0.3
# A network that has held bytes up delivers them within this time.
BACKLOG_S = 0.5


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


class SteadyArrivals:
    """Arrivals on a connection that were not held up in the network.

    Load pattern: a partition holds bytes up for seconds, while their sender
    ends. They arrive together, after a pause. Bytes that come steadily were
    sent at most ``MAX_PAUSE_S`` earlier, unless the network has become slower
    little by little.

    :ivar last_s: latest arrival that followed others without a pause, in
        seconds since boot; 0 before the first one.
    """

    def __init__(self) -> None:
        self.last_s = 0.0
        self._arrived_s = -math.inf
        self._steady_from_s = 0.0

    def record(self, arrived_s: float) -> None:
        """Record an arrival.

        :param arrived_s: seconds since boot.
        """
        if arrived_s - self._arrived_s > MAX_PAUSE_S:
            self._steady_from_s = arrived_s + BACKLOG_S
        self._arrived_s = max(self._arrived_s, arrived_s)
        if self._arrived_s >= self._steady_from_s:
            self.last_s = self._arrived_s
