"""Steps of features/placement/pace.feature."""

from __future__ import annotations

from typing import Any

import behave

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import gaps
from godwitvalve.placement import choose
from godwitvalve.placement import pace as pace_model
from godwitvalve.placement import tracker as trackers
from godwitvalve.platform import headers as wire


@behave.when('an endpoint states the load "{header}"')
def step_load(context: Any, header: str) -> None:
    answer = [(b'Server-Load', header.encode())]
    context.load = wire.read_answer(200, answer).load


@behave.then('its counts are 3, 0 and 8 and its pace is {pace}')
def step_pace(context: Any, pace: str) -> None:
    expected = None if pace == 'none' else float(pace)
    assert context.load == (3, 0, 8, expected), context.load


@behave.when('an endpoint states a pace of {pace:g}')
def step_state_pace(context: Any, pace: float) -> None:
    context.paces = pace_model.PaceTable()
    context.paces.record('portal', 'endpoint-1', pace, 10.0)


@behave.then(
    'its pace is {first:g} at once, {second:g} after {second_s:g} s and '
    '{third:g} after {third_s:g} s'
)
def step_pace_by_age(
    context: Any,
    first: float,
    second: float,
    second_s: float,
    third: float,
    third_s: float,
) -> None:
    for expected, age_s in ((first, 0), (second, second_s), (third, third_s)):
        seen = context.paces.pace('endpoint-1', 10.0 + age_s)
        assert abs(seen - expected) < 1e-6, (age_s, seen)


@behave.given(
    'streams with an allowed pause of {pause:g} s at {machines} machines'
)
def step_monitor(context: Any, pause: float, machines: str) -> None:
    context.monitor = gaps.GapMonitor(pause, 4.5, machines == 'shared')


@behave.then(
    'a stream at an endpoint that {answers} stays for {stays:g} s and leaves '
    'after {leaves:g} s'
)
def step_leave(
    context: Any, answers: str, stays: float, leaves: float
) -> None:
    # Without the check, no endpoint is known to accept connections.
    is_checked = context.monitor.is_check_due(stays, True)
    is_reachable = is_checked and answers == 'accepts connections'
    for idle_s, expected in ((stays, False), (leaves, True)):
        seen = context.monitor.is_unresponsive(
            idle_s, True, False, is_reachable
        )
        assert seen == expected, idle_s


@behave.given('an endpoint that reports 5 running requests {pace}')
def step_report(context: Any, pace: str) -> None:
    stated = None if pace == 'and no pace' else 1.0
    context.endpoint_tracker = trackers.EndpointTracker()
    context.endpoint_tracker.record_load(
        'endpoint-1', wire.EndpointLoad(5, 0, 6, stated), 10.0
    )


@behave.then('a call there costs as much as beside {busy:d} others')
def step_call_cost(context: Any, busy: int) -> None:
    endpoint = endpoints.FleetEndpoint(
        'endpoint-1', 'portal', '127.0.0.1:1', 'a', 'v1', 6, False, 0
    )
    stats = context.endpoint_tracker.stats('endpoint-1')
    cost = choose.call_cost(endpoint, stats, 'a', 10.01)
    assert cost == busy / endpoint.slots, cost
