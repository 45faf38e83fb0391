"""Steps for requests that meet an error of the entry itself."""

from __future__ import annotations

import asyncio
import json
import logging
from unittest import mock

import behave
from features.doubles import forwarding_site
from features.doubles import ingress_site
from godwitvalve.fleet import routes
from godwitvalve.forwarding import channel
from godwitvalve.forwarding import context as contexts
from godwitvalve.forwarding import pool
from godwitvalve.queueing import turns

ERRORS = {
    'LookupError': LookupError('injected'),
    'CancelledError': asyncio.CancelledError('injected'),
}
PLACES = {
    'selection': (contexts.ForwardingContext, 'select'),
    'second selection': (contexts.ForwardingContext, 'select'),
    'resumption': (contexts.ForwardingContext, 'may_take'),
    'turn': (turns.ServiceTurns, 'begin'),
    'connection': (pool.ChannelPool, 'acquire'),
    'answer': (channel.EndpointChannel, 'read_head'),
    'routing': (contexts.ForwardingContext, 'pick_service'),
}


@behave.given('the entry raises {error} at the {place}')
def entry_raises(context, error, place):
    owner, name = PLACES[place]
    is_async = place != 'routing'
    real = getattr(owner, name)
    calls = []

    def fail(*arguments, **settings):
        calls.append(name)
        if place.startswith('second') and len(calls) < 2:
            return real(*arguments, **settings)
        raise ERRORS[error]

    async def fail_later(*arguments, **settings):
        # Requests fail after they were written, not before.
        await asyncio.sleep(0.02)
        found = fail(*arguments, **settings)
        return await found

    patch = mock.patch.object(owner, name, fail_later if is_async else fail)
    patch.start()
    context.cleanups.append(patch.stop)


@behave.when('a caller sends a {kind} request')
def sends_request(context, kind):
    its_route = forwarding_site.route(
        routes.RequestKind(kind), is_public=False, limit_ms=1200.0
    )

    async def run():
        ingress = ingress_site.IngressSite(context.scripts, its_route)
        async with ingress.running():
            context.result = await ingress.ask()
        context.reasons = ingress.incomplete_reasons()
        context.scripted = ingress.scripted

    asyncio.run(run())


@behave.then('it is answered with status {status:d}')
def answered_with(context, status):
    assert context.result.is_complete, context.result
    assert context.result.status == status, context.result
    head, _, body = context.result.content.partition(b'\r\n\r\n')
    is_not_run = status == 503
    assert json.loads(body)['not_run'] == is_not_run, body
    assert (b'\r\nRetry-After: ' in head) == is_not_run, head


@behave.then('the error is logged with its cause')
def error_logged(context):
    found = [
        each
        for each in context.records.records
        if each.levelno == logging.ERROR and each.exc_info
    ]
    assert len(found) == 1, context.records.records
    assert found[0].exc_info[1].args == ('injected',), found[0].exc_info
