"""Steps for endpoints that state in their answers that they leave."""

from __future__ import annotations

import asyncio
from unittest import mock

from aioprometheus import renderer
import behave
from features.doubles import forwarding_site
from features.doubles import scripted_endpoint
from features.steps import forwarding_limits_steps as limits_steps
from godwitvalve.fleet import leaving
from godwitvalve.forwarding import leaving_checks

STATED = b'Request-Id: {id}\r\nServer-Leaving: 1\r\n'
LEAVING = b'Server-Leaving: 1\r\n'
NOT_ITS_OWN = {
    'misdirected and leaving': [
        scripted_endpoint.answer(b'', b'421 Misdirected Request', LEAVING)
    ],
    'earlier answer, leaving': [
        scripted_endpoint.answer(b'x', extra=LEAVING).replace(b'{id}', b'r-0')
        + scripted_endpoint.answer(b'fine')
    ],
}
PROBED = {
    'is healthy': scripted_endpoint.answer(b'', extra=b'Instance-Id: e0\r\n'),
    'is healthy but repeats that it leaves': scripted_endpoint.answer(
        b'', extra=b'Instance-Id: e0\r\n' + LEAVING
    ),
    'is healthy and another one': scripted_endpoint.answer(
        b'', extra=b'Instance-Id: e9\r\n'
    ),
    'is not healthy': scripted_endpoint.answer(
        b'', b'503 Service Unavailable', b'Instance-Id: e0\r\n'
    ),
    'does not answer': 'close',
}
PROBE_S = 0.2


def _add(context, number, actions):
    if number == 1:
        context.scripts = []
        context.preparations = []
    context.scripts.append([actions] * limits_steps.PLAYS)


def _stating(action):
    if isinstance(action, bytes):
        return action.replace(b'Request-Id: {id}\r\n', STATED)
    return action


@behave.given('endpoint {number:d} leaves and plays "{script}"')
def leaves_and_plays(context, number, script):
    actions = limits_steps._script(script)
    _add(context, number, [_stating(each) for each in actions])


@behave.given(
    'endpoint {number:d} plays "{script}", whose answer that leaves is not '
    'its own'
)
def plays_other_answer(context, number, script):
    _add(context, number, NOT_ITS_OWN[script])


@behave.then('the service counts {count:d} endpoint that leaves')
@behave.then('the service counts {count:d} endpoints that leave')
def counts_leaving(context, count):
    registry = context.site.context.counters.registry
    content, _ = renderer.render(registry, [])
    found = sum(
        float(line.rpartition(' ')[2])
        for line in content.decode().splitlines()
        if line.startswith('godwitvalve_stated_leaving_total')
    )
    assert found == count, found


@behave.given('an endpoint that stated long ago that it leaves')
def stated_long_ago(context):
    context.scripted = scripted_endpoint.ScriptedEndpoint()


@behave.when('it is probed and {answer}')
def is_probed(context, answer):
    async def probe():
        await context.scripted.start()
        context.scripted.scripts.append([PROBED[answer], 'close'])
        site = forwarding_site.ForwardingSite([context.scripted])
        registry = site.state.registry
        now_s = asyncio.get_running_loop().time()
        registry.record_stated_leaving(registry.get('e0'), now_s)
        assert not registry.is_usable('e0')
        checks = leaving_checks.LeavingChecks(site.state)
        with mock.patch.object(
            asyncio.get_running_loop(),
            'time',
            return_value=now_s + leaving.CONFIRM_AFTER_S,
        ):
            checks.begin_due()
        await asyncio.sleep(PROBE_S)
        checks.stop()
        context.is_used = registry.is_usable('e0')
        await context.scripted.stop()

    asyncio.run(probe())
    assert context.scripted.heads, 'it was not probed'
    assert '/healthz' in context.scripted.heads[0], context.scripted.heads


@behave.then('it is used')
def is_used(context):
    assert context.is_used


@behave.then('it is not used')
def is_not_used(context):
    assert not context.is_used
