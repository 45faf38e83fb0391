"""Event loop of a scenario, which lets tasks outlive a step."""

from __future__ import annotations

import asyncio
import time

WAIT_LIMIT_S = 15.0


def run(context, work):
    """Run a coroutine on the scenario's event loop."""
    if 'runner' not in context:
        context.runner = asyncio.Runner()
        # Cleanups run in reverse order, so the loop is closed last.
        context.cleanups.insert(0, context.runner.close)
    return context.runner.run(work)


async def until(condition, limit_s=WAIT_LIMIT_S):
    """Wait until a condition holds.

    :param limit_s: maximum time to wait, in seconds.
    :raises AssertionError: if the condition does not hold in time.
    """
    deadline_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline_s, 'condition not met in time'
        await asyncio.sleep(0.01)
