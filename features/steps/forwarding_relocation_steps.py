"""Steps for the search of a stream that waits at a silent endpoint."""

from __future__ import annotations

import asyncio
from unittest import mock

import behave
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import streams


def _before_searches(context, act):
    """Let every search for a successor wait for a function first."""
    choose = streams.StreamForwarder._choose_successor

    async def choose_later(self, attempt):
        await act()
        return await choose(self, attempt)

    patch = mock.patch.object(
        streams.StreamForwarder, '_choose_successor', choose_later
    )
    patch.start()
    context.cleanups.append(patch.stop)


@behave.given('another attempt needs {time_ms:d} ms')
def attempt_needs(context, time_ms):
    patch = mock.patch.object(policy, 'MIN_ATTEMPT_S', time_ms / 1000)
    patch.start()
    context.cleanups.append(patch.stop)


@behave.given('the search for a successor takes {time_ms:d} ms')
def search_takes(context, time_ms):
    async def pause():
        await asyncio.sleep(time_ms / 1000)

    _before_searches(context, pause)
    patch = mock.patch.object(asyncio, 'wait', wraps=asyncio.wait)
    context.waits = patch.start()
    context.cleanups.append(patch.stop)


@behave.then('the stream waited at most {limit:d} times')
def waited_at_most(context, limit):
    assert 0 < context.waits.call_count <= limit, context.waits.call_count
