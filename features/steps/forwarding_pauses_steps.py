"""Steps for endpoints that ask for a pause."""

from __future__ import annotations

import asyncio

import behave
from features.doubles import scripted_endpoint
from features.steps import fleet_registry_steps as registry_steps
from features.steps import forwarding_leaving_steps as leaving_steps
from features.steps import forwarding_limits_steps as limits_steps
from godwitvalve.endpoint_limits import pauses
from godwitvalve.platform import headers


def _turned_away(pause_s):
    return scripted_endpoint.answer(
        b'',
        b'503 Service Unavailable',
        b'Not-Executed: 1\r\nRetry-After: %g\r\n' % pause_s,
    )


@behave.given(
    'endpoint {number:d} turns requests away and asks for a pause of '
    '{pause_s:g} s'
)
def turns_away(context, number, pause_s):
    leaving_steps._add(context, number, [_turned_away(pause_s)])


@behave.given(
    'endpoint {number:d} turns a request away, asks for a pause of '
    '{pause_s:g} s and then plays "{script}"'
)
def turns_one_away(context, number, pause_s, script):
    leaving_steps._add(context, number, limits_steps._script(script))
    context.scripts[-1][0] = [_turned_away(pause_s)]


@behave.when('{count:d} {kind} requests are made in turn, {pause_s:g} s apart')
def made_apart(context, count, kind, pause_s):
    asyncio.run(limits_steps._make(context, kind, count, pause_s))


@behave.then('endpoint {number:d} received {count:d} requests')
def received(context, number, count):
    found = len(context.scripted[number - 1].heads)
    assert found == count, found


@behave.given('an answer with status {status:d} and Retry-After "{text}"')
def answer_with(context, status, text):
    raw = [(b'Request-Id', b'r'), (b'Retry-After', text.encode())]
    context.pause_s = headers.read_answer(status, raw).pause_s


@behave.then('it asks for a pause of {pause_s:g} s')
def asks_for(context, pause_s):
    assert context.pause_s == pause_s, context.pause_s


@behave.then('it asks for no pause')
def asks_for_none(context):
    assert context.pause_s is None, context.pause_s


@behave.given('a pause of {pause_s:g} s from {now_s:g} s on')
def a_pause(context, pause_s, now_s):
    context.pauses = pauses.PauseTable()
    assert context.pauses.record(registry_steps.endpoint('a'), pause_s, now_s)


@behave.then('the endpoint pauses at {now_s:g} s')
def it_pauses(context, now_s):
    assert context.pauses.is_paused(registry_steps.endpoint('a'), now_s)


@behave.then('the endpoint does not pause at {now_s:g} s')
def it_does_not(context, now_s):
    assert not context.pauses.is_paused(registry_steps.endpoint('a'), now_s)


@behave.then('its next start does not pause at {now_s:g} s')
def next_start(context, now_s):
    restarted = registry_steps.endpoint('a', started_ms=2_000)
    assert not context.pauses.is_paused(restarted, now_s)
