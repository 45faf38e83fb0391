"""Calls to a sound endpoint, beside a flood or without one."""

from __future__ import annotations

import asyncio
import time

from features.doubles import flooding_endpoint
from features.doubles import forwarding_site
from features.doubles import monitor
from features.doubles import scripted_endpoint
from godwitvalve.forwarding import exchange

QUIET_TIME_S = 1.0
FLOOD_TIME_S = 4.0
CALL_LIMIT_S = 1.0
PAUSE_S = 0.01
# More than one caller can get in the time.
MAX_CALLS = 20000


class SoundCalls:
    """Makes calls one after the other and records what each of them took.

    A call without a sound answer has no time.
    """

    def __init__(self):
        self.quiet_s = []
        self.flood_s = []
        self.monitor = None

    async def run(self, flood):
        """Make calls, first with nothing beside them, then beside a flood.

        :param flood: given the end of the flood on the monotonic clock, runs
            until then.
        """
        endpoint = flooding_endpoint.FloodingEndpoint(
            b'', b'', 1.0, [scripted_endpoint.answer()] * MAX_CALLS
        )
        await endpoint.start()
        site = forwarding_site.ForwardingSite([endpoint])
        end_s = time.monotonic() + QUIET_TIME_S
        self.quiet_s = await _call_until(site, end_s, 'quiet')
        self.monitor = monitor.Monitor()
        monitoring = asyncio.create_task(self.monitor.run())
        end_s = time.monotonic() + FLOOD_TIME_S
        flooding = asyncio.create_task(flood(end_s))
        self.flood_s = await _call_until(site, end_s, 'flood')
        await flooding
        monitoring.cancel()
        await endpoint.stop()

    @property
    def rates(self):
        """Return the calls per second beside the flood and without it."""
        return (
            len(self.flood_s) / FLOOD_TIME_S,
            len(self.quiet_s) / QUIET_TIME_S,
        )


async def _call_until(site, end_s, name):
    taken_s = []
    while (started_s := time.monotonic()) < end_s:
        try:
            reply = await site.send_to(
                'e0', CALL_LIMIT_S, f'{name}-{len(taken_s)}'
            )
        except TimeoutError:
            reply = None
        is_sound = isinstance(reply, exchange.Answered)
        taken_s.append(time.monotonic() - started_s if is_sound else None)
        await asyncio.sleep(PAUSE_S)
    return taken_s
