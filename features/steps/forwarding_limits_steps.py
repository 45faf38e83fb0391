"""Steps for requests to endpoints that state a limit."""

from __future__ import annotations

import asyncio
import re

import behave
from features.doubles import forwarding_site
from features.doubles import scripted_endpoint
from features.steps import forwarding_steps
from godwitvalve.endpoint_limits import statements
from godwitvalve.fleet import routes
from godwitvalve.forwarding import exchange
from godwitvalve.forwarding import replies
from godwitvalve.outcomes import codes

LIMIT = b'Request-Id: {id}\r\nServer-Limit: %s\r\n'
COMPLETE = scripted_endpoint.answer(b'fine')
ROUTES = {
    'repeatable': forwarding_site.route(
        routes.RequestKind.REPEATABLE, objective_ms=400.0
    ),
    'non-repeatable': forwarding_site.route(routes.RequestKind.ONCE),
    'stream': forwarding_site.route(routes.RequestKind.STREAM),
}
SCRIPTS = {
    'misdirected with a limit': [
        scripted_endpoint.answer(
            b'', b'421 Misdirected Request', b'Server-Limit: 1\r\n'
        )
    ],
    'earlier answer with a limit': [
        scripted_endpoint.answer(b'x', extra=b'Server-Limit: 1\r\n').replace(
            b'{id}', b'req-0'
        )
        + COMPLETE
    ],
}
PLAYS = 40


def _script(text):
    if text in SCRIPTS:
        return SCRIPTS[text]
    if text in forwarding_steps.CALL_SCRIPTS:
        return forwarding_steps.CALL_SCRIPTS[text]
    return forwarding_steps.stream_script(text)


def _stating(limit, action):
    if limit and isinstance(action, bytes):
        return action.replace(b'Request-Id: {id}\r\n', LIMIT % limit.encode())
    return action


@behave.given('endpoint {number:d} states {what} and plays "{script}"')
def endpoint_plays(context, number, what, script):
    if number == 1:
        context.scripts = []
        context.preparations = []
    limit = what.removeprefix('a limit of ') if what != 'no limit' else ''
    actions = [_stating(limit, each) for each in _script(script)]
    context.scripts.append([actions] * PLAYS)


@behave.given(
    'endpoint {number:d} has had its last permit for a limit of {limit:g}'
)
def had_last_permit(context, number, limit):
    async def prepare(site):
        endpoint = site.state.registry.get(f'e{number - 1}')
        limiter = site.context.limiter
        loop = asyncio.get_running_loop()
        limiter.observe(
            endpoint, statements.Limited(limit), loop.time() - 1000.0
        )
        assert not await limiter.acquire(endpoint, False)

    context.preparations.append(prepare)


@behave.given('endpoint {number:d} runs a new version that all calls go to')
def runs_new_version(context, number):
    async def prepare(site):
        def choose(service, listed, draw):
            new = [
                each for each in listed if each.endpoint_id == f'e{number - 1}'
            ]
            old = [each for each in listed if each not in new]
            return new if draw < 1.0 else old

        site.context.rollouts.choose = choose

    context.preparations.append(prepare)


async def _make(context, kind, count, pause_s=0.0):
    scripted = [
        await scripted_endpoint.ScriptedEndpoint(*scripts).start()
        for scripts in context.scripts
    ]
    site = forwarding_site.ForwardingSite(scripted)
    loop = asyncio.get_running_loop()
    for prepare in context.preparations:
        await prepare(site)
    try:
        for number in range(count):
            began_s = loop.time()
            request_id = f'req-{number + 1}'
            if kind == 'stream':
                context.reply, context.sink = await site.stream(
                    ROUTES[kind], 5.0, request_id=request_id
                )
            else:
                context.reply = await site.call(
                    ROUTES[kind], request_id=request_id
                )
            context.taken_ms = (loop.time() - began_s) * 1000
            await asyncio.sleep(pause_s)
    finally:
        for each in scripted:
            await each.stop()
    context.scripted = scripted
    context.site = site


@behave.when('{count:d} {kind} requests are made in turn')
def requests_made(context, count, kind):
    asyncio.run(_make(context, kind, count))


@behave.then('endpoint {number:d} received at most {count:d} requests')
def received_at_most(context, number, count):
    found = len(context.scripted[number - 1].heads)
    assert 0 < found <= count, found


@behave.then('the last one is refused as {code} within {limit_ms:d} ms')
def last_refused(context, code, limit_ms):
    assert isinstance(context.reply, replies.Refusal), context.reply
    assert context.reply.code is codes.ResultCode[code], context.reply
    assert context.taken_ms <= limit_ms, context.taken_ms


@behave.then('it may return after {wait_s:g} s at the earliest')
def may_return_after(context, wait_s):
    assert context.reply.retry_after_s >= wait_s, context.reply


@behave.then('the last one got status {status:d}')
def last_status(context, status):
    assert isinstance(context.reply, exchange.Answered), context.reply
    assert context.reply.head.status == status


@behave.then('the last one has the events "{numbers}" and is complete')
def last_events(context, numbers):
    assert context.reply == replies.Streamed(True), context.reply
    found = re.findall(rb'id: (\d+)\n', context.sink.content)
    assert b' '.join(found) == numbers.encode(), found


@behave.then('the last one has its backup at endpoint {number:d}')
def last_backup(context, number):
    expected = f'kv-backup: {context.scripted[number - 1].address}'
    heads = [head for each in context.scripted for head in each.heads]
    assert expected in heads[-1], heads[-1]


@behave.then('no endpoint has a limit')
def no_limit(context):
    assert not context.site.context.limiter.table.limited_count()
