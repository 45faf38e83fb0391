"""Steps for the connection checks of streams at silent endpoints."""

from __future__ import annotations

import asyncio
import types
from unittest import mock

import behave
from features.doubles import virtual_time
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import registry as registries
from godwitvalve.forwarding import gaps
from godwitvalve.forwarding import probes
from godwitvalve.forwarding import silence
from godwitvalve.forwarding import stream_silence
from godwitvalve.placement import tracker as trackers

# A connection that is not answered fails after this time.
CONNECT_LIMIT_S = 0.3
CONNECT_S = 0.004
STEP_S = 0.05


def _endpoint(endpoint_id, started_ms):
    return endpoints.FleetEndpoint(
        endpoint_id, 'portal', '127.0.0.1:1', 'a', 'v1', 6, False, started_ms
    )


class _Relocation:
    """Finds a successor at once.

    :param running: tasks that the stream waits for, none here.
    """

    running = frozenset()
    is_accepted = is_offered = False

    def end(self):
        pass

    def poll(self, now_s):
        return True


class _Stream:
    """A stream at one endpoint; times are seconds since it was sent.

    :param down: when the endpoint is silent, from and until.
    :param listed_s: when its successor at the address is listed.
    :param is_removed: whether its own row is removed at the same moment.
    :param event_s: when the endpoint sends something.
    """

    def __init__(
        self, has_events, down, listed_s=9e9, is_removed=False, event_s=9e9
    ):
        self._began_s = 0.0
        self._down = down
        self._listed_s = listed_s
        self._is_removed = is_removed
        self._event_s = event_s
        self._attempt = types.SimpleNamespace(
            has_events=has_events,
            endpoint=_endpoint('old', 1),
            last_check_s=0.0,
            is_unreachable=False,
            is_reachable=False,
            is_declared_lost=False,
        )

    def _elapsed_s(self):
        return asyncio.get_running_loop().time() - self._began_s

    async def _accepts(self, address):
        begin, end = self._down
        if begin <= self._elapsed_s() < end:
            await asyncio.sleep(CONNECT_LIMIT_S)
            return False
        await asyncio.sleep(CONNECT_S)
        return True

    async def run(self):
        """Return when the wait for the endpoint ended, and its result."""
        loop = asyncio.get_running_loop()
        self._began_s = self._attempt.progress_s = loop.time()
        registry = registries.EndpointRegistry()
        registry.mark_store_available(loop.time())
        registry.update(_endpoint('old', 1), 1)

        def restart():
            registry.update(_endpoint('new', 2), 2)
            if self._is_removed:
                registry.remove('old', 3, loop.time())

        loop.call_at(self._began_s + self._listed_s, restart)
        state = types.SimpleNamespace(
            context=types.SimpleNamespace(
                state=types.SimpleNamespace(registry=registry),
                endpoint_tracker=trackers.EndpointTracker(),
                on_placement_changed=lambda: None,
            ),
            routed=None,
            loop=loop,
            gap_monitor=gaps.GapMonitor(0.7, 4.5, True),
            relocation=_Relocation(),
            is_blocked=lambda: False,
            progress=lambda runs: silence.StreamProgress(1, 3, True, 20.0),
            possible_runs=0,
        )
        watch = stream_silence.SilenceWatch(state, None)
        reading = asyncio.create_task(
            asyncio.sleep(min(self._event_s, 20.0), 'event')
        )
        with mock.patch.object(probes, 'accepts_connections', self._accepts):
            found = await watch.await_responsive(self._attempt, reading)
        return self._elapsed_s(), found


def _run(*details, **options):
    return virtual_time.run(_Stream(*details, **options).run())


@behave.when('an endpoint falls silent {down_s:g} s after an event')
def falls_silent(context, down_s):
    context.left = _run(True, (down_s, 9e9))


@behave.when('an event arrives after {event_s:g} s, in a check without answer')
def event_in_check(context, event_s):
    context.left = _run(True, (0.0, 9e9), event_s=event_s)


@behave.then(
    'the stream leaves it {limit_s:g} s after the event at the latest'
)
def left_in_time(context, limit_s):
    left_s, found = context.left
    assert found is None and left_s <= limit_s, context.left


@behave.then('the stream has it within {limit_s:g} s')
def has_event(context, limit_s):
    left_s, found = context.left
    assert found == 'event' and left_s <= limit_s, context.left


@behave.when(
    'endpoints restart {down_s:g} s after they fell silent and are listed '
    '{listing_s:g} s later, {what} their rows removed'
)
def endpoints_restart(context, down_s, listing_s, what):
    # A stream is sent up to 1 s before the silence, or in it over a
    # connection that was open already.
    steps = range(round(-1.0 / STEP_S), round(down_s / STEP_S))
    context.left = []
    for sent_s in (step * STEP_S for step in steps):
        silent_s, listed_s = -sent_s, down_s + listing_s - sent_s
        left_s, found = _run(
            False,
            (silent_s, down_s - sent_s),
            listed_s=listed_s,
            is_removed=what == 'with',
        )
        assert found is None, (sent_s, left_s)
        context.left.append((left_s, max(silent_s, 0.0), listed_s))


@behave.then(
    'streams leave them within {limit_s:g} s, and {after_s:g} s after the '
    'listing at the latest'
)
def leave_restarted(context, limit_s, after_s):
    lost_s = max(left - silent for left, silent, _ in context.left)
    late_s = max(left - listed for left, _, listed in context.left)
    assert lost_s <= limit_s and late_s <= after_s, (lost_s, late_s)
