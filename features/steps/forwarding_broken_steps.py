"""Steps for repeated refusals, errors within streams and cut heads."""

from __future__ import annotations

import asyncio

import behave
from features.doubles import forwarding_site
from features.doubles import hasty_endpoint
from features.doubles import ingress_site
from features.doubles import scripted_endpoint
from features.steps import forwarding_steps
from godwitvalve.fleet import routes
from godwitvalve.forwarding import exchange
from godwitvalve.forwarding import replies

ONCE = forwarding_site.route(routes.RequestKind.ONCE)
STREAM = forwarding_site.route(routes.RequestKind.STREAM)
ANSWER = scripted_endpoint.answer(b'fine')
EARLIER_ID = b'req-0'
WAIT_S = 0.8
# More sites of one event loop make one another late on a busy machine.
MAX_SITES_AT_ONCE = 8


def _refusal(status=b'503 Service Unavailable', extra=b'Not-Executed: 1\r\n'):
    return scripted_endpoint.answer(b'', status, extra).replace(
        b'{id}', EARLIER_ID
    )


REFUSAL = _refusal()
STREAM_ANSWER = (
    scripted_endpoint.STREAM_HEAD
    + scripted_endpoint.event(1)
    + scripted_endpoint.STREAM_END
)
REFUSAL_SCRIPTS = {
    'the refusal again, then the answer': lambda answer: [REFUSAL, answer],
    'the refusal again 50 ms later, the answer': lambda answer: [
        0.05,
        REFUSAL,
        0.02,
        answer,
    ],
    'the refusal twice, then the answer': lambda answer: [
        REFUSAL * 2,
        answer,
    ],
    'the refusal three times, then the answer': lambda answer: [
        REFUSAL * 3,
        answer,
    ],
    'the refusal again, then nothing': lambda answer: [REFUSAL, 'hang'],
    'the refusal again, then a close': lambda answer: [REFUSAL, 'close'],
    'the refusal without an id, the answer': lambda answer: [
        REFUSAL.replace(b'Request-Id: req-0\r\n', b''),
        answer,
    ],
    'the refusal with 429, then a close': lambda answer: [
        _refusal(b'429 Too Many Requests'),
        'close',
    ],
    'the refusal with 421, then a close': lambda answer: [
        _refusal(b'421 Misdirected Request', b''),
        'close',
    ],
    'the refusal without a length, the answer': lambda answer: [
        REFUSAL.replace(b'Content-Length: 0\r\n', b''),
        answer,
    ],
    'the refusal that closes, then the answer': lambda answer: [
        _refusal(extra=b'Not-Executed: 1\r\nConnection: close\r\n'),
        answer,
    ],
    'the answer, then the refusal again': lambda answer: [answer + REFUSAL],
}


async def _with_site(scripts, act):
    """Run a coroutine function with a site of scripted endpoints."""
    scripted = [
        await scripted_endpoint.ScriptedEndpoint(*each).start()
        for each in scripts
    ]
    site = forwarding_site.ForwardingSite(scripted)
    try:
        return await act(site), scripted
    finally:
        for each in scripted:
            await each.stop()


async def _with_sites(scripts_of_sites, act):
    """Run a coroutine function with one site after another; list its results.

    :param scripts_of_sites: scripts of the endpoints of each site.
    """
    limit = asyncio.Semaphore(MAX_SITES_AT_ONCE)

    async def run(scripts):
        async with limit:
            result, _ = await _with_site(scripts, act)
            return result

    return await asyncio.gather(*map(run, scripts_of_sites))


@behave.given(
    'an endpoint that refused an earlier request on a kept connection'
)
def refused_earlier(context):
    context.first = [scripted_endpoint.DECLINED]
    context.script = lambda answer: [answer]


@behave.given('that answers the next one with "{script}"')
def answers_next(context, script):
    context.script = REFUSAL_SCRIPTS[script]


@behave.given('that repeats the refusal before the next request')
def repeats_before(context):
    context.first = [scripted_endpoint.DECLINED, 0.05, REFUSAL]


@behave.when('a {kind} request is sent on that connection')
def sent_on_connection(context, kind):
    async def act(site):
        await site.send_to('e0', WAIT_S, EARLIER_ID.decode())
        await asyncio.sleep(0.1)
        if kind == 'stream':
            reply, _ = await site.stream(STREAM, WAIT_S)
            return reply
        return await site.call(ONCE, WAIT_S)

    answer = STREAM_ANSWER if kind == 'stream' else ANSWER
    context.reply, (context.endpoint,) = asyncio.run(
        _with_site([[context.first, context.script(answer), [answer]]], act)
    )


@behave.then('the endpoint got it once and the result is "{result}"')
def got_once(context, result):
    heads = [each for each in context.endpoint.heads if 'req-1' in each]
    assert len(heads) == 1, heads
    match context.reply:
        case exchange.Answered(head, body):
            found = 'answered' if (head.status, body) == (200, b'fine') else ''
        case replies.Streamed(True):
            found = 'complete'
        case replies.Failure():
            found = 'unknown'
        case _:
            found = str(context.reply)
    assert found == result, context.reply


def _error(text):
    """Return the script of an endpoint that answers with an error."""
    status = {
        '400': b'400 Bad Request',
        '404': b'404 Not Found',
        '409': b'409 Conflict',
        '204': b'204 No Content',
        '302': b'302 Found',
        '500': b'500 Broken',
        '502': b'502 Bad Gateway',
        '503': b'503 Service Unavailable',
        '421': b'421 Misdirected Request',
        '200': b'200 OK',
    }.get(text[:3], b'')
    content = b'error: it failed\n\n'
    whole = scripted_endpoint.answer(content, status)
    head, _, _ = whole.partition(b'Content-Length')
    match text:
        case 'text that is no answer':
            return [content, 'close']
        case '204':
            return [head + b'\r\n']
        case '503 with proof':
            return [scripted_endpoint.DECLINED]
        case '500 that is cut':
            return [whole[:-4], 'close']
        case '500 whose body never ends':
            return [head + b'Content-Length: 99999\r\n\r\n' + content, 'hang']
        case '502 in chunks':
            return [
                head
                + b'Transfer-Encoding: chunked\r\n\r\n'
                + scripted_endpoint.chunk(content)
                + scripted_endpoint.STREAM_END
            ]
        case '200 with the head of an error as its body':
            body = scripted_endpoint.answer(content, b'500 Broken')
            return [scripted_endpoint.answer(body)]
    if text.endswith('without a length'):
        return [head + b'\r\n' + content, 'close']
    return [whole]


@behave.given('a stream that broke off after event 1')
def broke_off(context):
    context.broken = [
        scripted_endpoint.STREAM_HEAD,
        scripted_endpoint.event(1),
        0.02,
        'reset',
    ]


@behave.given('the next endpoint answers "{error}"')
def next_answers(context, error):
    context.error = _error(error)


def _stream(scripts, wait_s=3.0):
    async def act(site):
        return await site.stream(STREAM, wait_s)

    (reply, sink), _ = asyncio.run(_with_site(scripts, act))
    return reply, sink.content


@behave.then('the stream has only events and no end')
def only_events(context):
    # Attempts after these two meet the error as well.
    reply, content = _stream(
        [[context.broken] + [context.error] * 9, [context.error] * 9], 1.6
    )
    assert reply == replies.Streamed(False), reply
    assert content == forwarding_steps.events_between(1, 1), content


@behave.then(
    'with a third endpoint that is sound it has the events 1 to 3 and the end'
)
def third_is_sound(context):
    sound = [
        scripted_endpoint.STREAM_HEAD,
        scripted_endpoint.event(2),
        scripted_endpoint.event(3),
        scripted_endpoint.STREAM_END,
    ]
    reply, content = _stream(
        [[context.broken], [context.error] * 9, [sound]], 3.0
    )
    assert reply == replies.Streamed(True), reply
    assert content == forwarding_steps.events_between(1, 3), content


@behave.then('the caller gets status {status:d} without a body')
def gets_no_body(context, status):
    assert isinstance(context.reply, exchange.Answered), context.reply
    assert context.reply.head.status == status
    assert not context.reply.body


HEADS = {
    'with a length': b'Content-Length: 4\r\n\r\n',
    'in chunks': b'Transfer-Encoding: chunked\r\n\r\n',
    'without framing': b'\r\n',
    'after an interim answer': b'Content-Length: 4\r\n\r\n',
}


def _cut_heads(name):
    start, _, _ = ANSWER.partition(b'Content-Length')
    whole = start + HEADS[name]
    if name == 'after an interim answer':
        whole = b'HTTP/1.1 103 Early Hints\r\n\r\n' + whole
    whole = whole.replace(b'{id}', b'req-1')
    return [whole[:size] for size in range(1, len(whole))]


def _call_results(heads, end, is_kept):
    """Return the replies to calls whose answers are cut."""
    before = [[ANSWER]] if is_kept else []

    async def act(site):
        if is_kept:
            await site.send_to('e0', WAIT_S, EARLIER_ID.decode())
        return await site.call(ONCE, WAIT_S)

    sites = [[[*before, [head, 0.005, end]]] for head in heads]
    return asyncio.run(_with_sites(sites, act))


@behave.then(
    'a call is not answered if the head {name} is cut after any byte by a '
    '{end}'
)
def call_not_answered(context, name, end):
    context.heads, context.end = _cut_heads(name), end
    _check_unknown(_call_results(context.heads, end, False))


@behave.then('neither is one on a kept connection')
def kept_not_answered(context):
    _check_unknown(_call_results(context.heads, context.end, True))


def _check_unknown(found):
    assert found
    wrong = [each for each in found if not isinstance(each, replies.Failure)]
    assert not wrong, wrong


@behave.then('a stream has no end')
def stream_has_no_end(context):
    async def act(site):
        reply, sink = await site.stream(
            STREAM._replace(is_resumable=False), WAIT_S
        )
        return reply, sink.head

    sites = [[[[head, 0.005, context.end]]] for head in context.heads]
    found = asyncio.run(_with_sites(sites, act))
    assert len(found) == len(context.heads)
    for reply, head in found:
        assert isinstance(reply, replies.Failure) and head is None, reply


def _answer_first(context, kind, damage):
    """Ask once, with a first endpoint whose answer is damaged.

    :param damage: changes the bytes of a sound answer.
    """
    sound = STREAM_ANSWER if kind == 'stream' else ANSWER
    kinds = {
        'non-repeatable': routes.RequestKind.ONCE,
        'repeatable': routes.RequestKind.REPEATABLE,
        'stream': routes.RequestKind.STREAM,
    }
    site = ingress_site.IngressSite(
        [[[damage(sound)]], [[sound]]], forwarding_site.route(kinds[kind])
    )

    async def ask():
        async with site.running():
            return await site.ask()

    context.caller_result = asyncio.run(ask())


@behave.when(
    'the first endpoint answers a {kind} request with the byte {byte:d} in a '
    'header'
)
def byte_in_header(context, kind, byte):
    note = b'X-Note: a%cb\r\nResponse-Signature' % byte
    _answer_first(
        context,
        kind,
        lambda sound: sound.replace(b'Response-Signature', note),
    )


@behave.when(
    'the first endpoint answers a {kind} request without its signature'
)
def without_signature(context, kind):
    _answer_first(
        context,
        kind,
        lambda sound: sound.replace(
            b'Response-Signature', b'Response-Sicnature'
        ),
    )


@behave.when(
    'the first endpoint answers a {kind} request with status "{status}"'
)
def odd_status(context, kind, status):
    def damage(sound):
        number, _, where = status.partition(' ')
        line = b'HTTP/1.1 %s Odd' % number.encode()
        if where:
            return line + b'\r\n\r\n' + sound
        return sound.replace(b'HTTP/1.1 200 OK', line)

    _answer_first(context, kind, damage)


@behave.given(
    'an endpoint that answers a part without a length and ends by a {end}'
)
def hasty_endpoint_ends(context, end):
    context.end = end


@behave.when('a {kind} request with a body of {size:d} bytes is sent to it')
def sent_to_hasty(context, kind, size):
    part = b'id: 1\ndata: t1\n\n' if kind == 'stream' else b'a part'
    head = scripted_endpoint.answer(b'').replace(b'Content-Length: 0\r\n', b'')

    async def act():
        endpoint = await hasty_endpoint.HastyEndpoint(
            head + part, context.end
        ).start()
        site = forwarding_site.ForwardingSite([endpoint])
        routed = site.routed_request(STREAM if kind == 'stream' else ONCE)
        routed = routed._replace(
            request=routed.request._replace(body=bytes(size))
        )
        try:
            if kind == 'stream':
                sink = forwarding_site.Recorder(lambda: None)
                return await forwarding_site.streams.StreamForwarder(
                    site.context, routed, sink
                ).run()
            return await forwarding_site.calls.CallForwarder(
                site.context, routed
            ).run()
        finally:
            await endpoint.stop()

    context.reply = asyncio.run(act())


@behave.then('its caller gets no whole answer')
def no_whole_answer(context):
    match context.reply:
        case replies.Failure() | replies.Streamed(False):
            pass
        case other:
            raise AssertionError(other)


@behave.then('its caller gets status {status:d}')
def caller_gets_status(context, status):
    found = context.caller_result
    assert found.status == status and found.is_complete, found


@behave.then('what it gets as a success is signed')
def success_is_signed(context):
    found = context.caller_result
    assert found.status != 200 or b'Response-Signature: s\r\n' in found.content
