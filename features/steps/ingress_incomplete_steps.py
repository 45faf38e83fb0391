"""Steps for requests that end without a complete answer."""

from __future__ import annotations

import asyncio
import logging
import time

import behave
from features.doubles import forwarding_site
from features.doubles import ingress_site
from features.doubles import log_records
from godwitvalve.endpoint_limits import statements
from godwitvalve.fleet import routes

MESSAGE = 'ingress: Request ended without a complete answer.'
STREAM = forwarding_site.route(routes.RequestKind.STREAM, is_public=False)
ROUTES = {
    'one attempt': STREAM._replace(max_endpoints=1),
    'not resumable': STREAM._replace(is_resumable=False),
    'one more attempt': STREAM._replace(max_endpoints=2),
    'changed configuration': STREAM._replace(max_endpoints=2),
    'SIGHUP': STREAM._replace(max_endpoints=2),
    'event loop held up': STREAM._replace(max_endpoints=2),
}
HELD_UP_S = 0.7
# Fields of the log line of a cut answer before which nothing happened.
QUIET = {
    'has_left_silent': False,
    'since_configuration_ms': None,
    'since_reload_ms': None,
}


@behave.given('the condition "{condition}" at the caller port')
def condition_given(context, condition):
    context.condition = condition
    context.records = log_records.LogRecords()
    logger = logging.getLogger('godwitvalve.ingress')
    logger.addHandler(context.records)
    context.cleanups.append(lambda: logger.removeHandler(context.records))


async def _use_up_permits(site):
    for number in (1, 2):
        endpoint = site.state.registry.get(f'e{number}')
        now_s = asyncio.get_running_loop().time()
        site.context.limiter.observe(
            endpoint, statements.Limited(0.05), now_s - 1000.0
        )
        assert not await site.context.limiter.acquire(endpoint, False)


def _raise_at_second_attempt(site):
    observe = site.context.rollouts.observe

    def failing(endpoint, *arguments):
        if endpoint.endpoint_id != 'e0':
            raise LookupError('injected')
        return observe(endpoint, *arguments)

    site.context.rollouts.observe = failing


async def _prepare(context, ingress):
    site = ingress.site
    match context.condition:
        case 'no retries':
            site.context.budget.resize(0.0, 0.0)
        case 'permits used up':
            await _use_up_permits(site)
        case 'second attempt raises':
            _raise_at_second_attempt(site)


def _on_event(context, ingress):
    async def remove(writer):
        for number in range(3):
            ingress.site.state.registry.remove(f'e{number}', 2, 0.0)

    async def interrupt(writer):
        ingress.handler.begin_interrupting()
        await ingress.runner.cleanup()

    async def leave(writer):
        writer.transport.abort()

    history = ingress.site.context.history

    async def install(writer):
        history.record_configuration(time.monotonic())

    async def reload(writer):
        history.record_reload(time.monotonic())

    async def hold_up(writer):
        history.pauses.record(time.monotonic(), 0.0)
        time.sleep(HELD_UP_S)

    return {
        'endpoints removed': remove,
        'interrupted by a stop': interrupt,
        'caller leaves': leave,
        'changed configuration': install,
        'SIGHUP': reload,
        'event loop held up': hold_up,
    }.get(context.condition)


@behave.when('a caller asks for a stream')
def asks_for_stream(context):
    async def run():
        its_route = ROUTES.get(context.condition, STREAM)
        ingress = ingress_site.IngressSite(context.scripts, its_route)
        async with ingress.running():
            await _prepare(context, ingress)
            context.result = await ingress.ask(
                'a:1,b:1', _on_event(context, ingress)
            )
            # The handler learns late that its caller left.
            await asyncio.sleep(0.1)
        context.reasons = ingress.incomplete_reasons()

    asyncio.run(run())


@behave.then('its answer is cut')
def answer_cut(context):
    assert context.result.status == 200, context.result
    assert not context.result.is_complete, context.result


@behave.then('its answer is complete')
def answer_complete(context):
    assert context.result.is_complete, context.result


@behave.then('the reason "{reason}" is counted and logged once, and no other')
def reason_counted(context, reason):
    assert context.reasons == {reason: 1.0}, context.reasons
    logged = [
        each.reason
        for each in context.records.records
        if each.getMessage() == MESSAGE
    ]
    assert logged == [reason], logged


@behave.then(
    'its log line has "{field}" from {least:d} to {most:d}, and nothing else '
    'happened'
)
def line_has_field(context, field, least, most):
    (line,) = (
        each
        for each in context.records.records
        if each.getMessage() == MESSAGE
    )
    assert least <= getattr(line, field) <= most, line.__dict__
    others = {name: value for name, value in QUIET.items() if name != field}
    logged = {name: getattr(line, name) for name in others}
    assert logged == others, line.__dict__
    if field != 'longest_pause_ms':
        assert line.longest_pause_ms == 0, line.__dict__


@behave.then('it has status {status:d}')
def has_status(context, status):
    assert context.result.status == status, context.result


@behave.then('no reason is counted')
def no_reason(context):
    assert not context.reasons, context.reasons
