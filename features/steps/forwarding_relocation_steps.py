"""Steps for the search of a stream that waits at a silent endpoint."""

from __future__ import annotations

import asyncio
import logging
from unittest import mock

import behave
from features.doubles import log_records
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import stream_placement

FAILURES = {
    'raises': LookupError('injected'),
    'gets cancelled': asyncio.CancelledError(),
}


def _before_searches(context, act):
    """Let every search for a successor wait for a function first."""
    choose = stream_placement.StreamPlacement.choose_successor

    async def choose_later(self, attempt):
        await act()
        return await choose(self, attempt)

    patch = mock.patch.object(
        stream_placement.StreamPlacement, 'choose_successor', choose_later
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


@behave.given('the first search for a successor {failure}')
def first_search_fails(context, failure):
    failures = [FAILURES[failure]]

    async def fail_once():
        if failures:
            raise failures.pop()

    _before_searches(context, fail_once)
    context.records = log_records.LogRecords()
    logger = logging.getLogger('godwitvalve.forwarding')
    logger.addHandler(context.records)
    context.cleanups.append(lambda: logger.removeHandler(context.records))


@behave.then('the stream waited at most {limit:d} times')
def waited_at_most(context, limit):
    assert 0 < context.waits.call_count <= limit, context.waits.call_count


@behave.then('the failed search was logged')
def failure_logged(context):
    logged = [
        each.getMessage()
        for each in context.records.records
        if each.levelno >= logging.WARNING
    ]
    assert logged == ['forwarding: Search for an endpoint failed.'], logged
