"""Bounds the processor share of all messages that are costly to parse."""

from __future__ import annotations

import asyncio

# Share of the processor that all throttled messages get together.
PROCESSOR_SHARE = 0.15
# Timers of the event loop are not more precise.
MIN_PAUSE_S = 0.001
# No message waits longer, so that a sound one in short chunks still ends and
# a caller that has left is noticed.
MAX_PAUSE_S = 0.5


class ParsingThrottle:
    """Makes throttled messages pause, one after the other.

    Load pattern: 34 connections send chunks of one byte without end. Turns
    for each connection alone would be multiplied by their number. What one
    of them cost delays all of them, itself included. What connections that
    have ended cost is forgotten, as it would delay others for long.
    """

    def __init__(self) -> None:
        self._free_from_s = 0.0

    def reserve(self, now_s: float, cost_s: float) -> float:
        """Return when a message goes on that took processor time.

        :param now_s: seconds of the event loop's clock.
        :param cost_s: processor time of its last step, in seconds.
        """
        pause_s = max(cost_s / PROCESSOR_SHARE, MIN_PAUSE_S)
        self._free_from_s = min(
            max(now_s, self._free_from_s) + pause_s, now_s + MAX_PAUSE_S
        )
        return self._free_from_s

    async def pause(self, cost_s: float) -> None:
        """Wait until a message may go on.

        :param cost_s: processor time of its last step, in seconds.
        """
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self.reserve(now_s, cost_s) - now_s)


# Shared by all messages of the process, whoever sends them.
PROCESS = ParsingThrottle()
