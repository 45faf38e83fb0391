"""Steps for calls and streams over real connections."""

from __future__ import annotations

import asyncio
import time
from unittest import mock

from aioprometheus import renderer
import behave
from features.doubles import forwarding_site
from features.doubles import scripted_endpoint
from godwitvalve.fleet import routes
from godwitvalve.forwarding import exchange
from godwitvalve.forwarding import probes
from godwitvalve.forwarding import replies

COMPLETE = scripted_endpoint.answer()
# After the request was sent again, which is 30 ms after the first decline.
LATE_COPY_S = 0.045
# Sound endpoints may send nothing for so long and go on.
SILENCE_S = 1.2
# Less than the allowed gap between events.
PAUSE_S = 0.1
UNFRAMED_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\r\n'
)
CALL_SCRIPTS = {
    'complete': [COMPLETE],
    'reset': ['reset'],
    'close': ['close'],
    'hang': ['hang'],
    'error': [scripted_endpoint.answer(b'broken', b'500 Broken')],
    'declined': [scripted_endpoint.DECLINED],
    'misdirected': [scripted_endpoint.MISDIRECTED],
    'truncated': [COMPLETE[:-2], 'close'],
    'garbage': [b'no answer at all\r\n\r\n', 'close'],
    'encoded': [scripted_endpoint.answer(extra=b'Content-Encoding: gzip\r\n')],
    'other request': [COMPLETE.replace(b'{id}', b'req-9'), 'close'],
    'stale answer first': [
        scripted_endpoint.answer(b'first').replace(b'{id}', b'req-0')
        + scripted_endpoint.answer(b'second')
    ],
    'complete and more': [COMPLETE, 0.05, b'HTTP/1.1 200 OK\r\n\r\n'],
    'unframed': [
        UNFRAMED_HEAD + b'all of',
        b' it',
        'close',
    ],
    'unframed empty': [
        UNFRAMED_HEAD,
        'close',
    ],
    'no content': [
        b'HTTP/1.1 204 No Content\r\nRequest-Id: {id}\r\n'
        b'Response-Signature: s\r\n\r\n'
    ],
    'unframed exit': [
        UNFRAMED_HEAD + b'a part',
        0.02,
        'exit',
    ],
    'unframed reset': [
        UNFRAMED_HEAD + b'all of',
        0.02,
        'reset',
    ],
    'refused without proof': [
        scripted_endpoint.answer(b'', b'503 Service Unavailable')
    ],
    'throttled without proof': [
        scripted_endpoint.answer(b'', b'429 Too Many Requests')
    ],
    'late refusal first': [
        scripted_endpoint.DECLINED.replace(b'Request-Id: {id}\r\n', b''),
        0.05,
        scripted_endpoint.answer(b'second'),
    ],
    'late answer first': [
        scripted_endpoint.answer(b'first').replace(
            b'Request-Id: {id}\r\n', b''
        ),
        0.05,
        scripted_endpoint.answer(b'second'),
    ],
    'declined twice': [
        scripted_endpoint.DECLINED,
        LATE_COPY_S,
        scripted_endpoint.DECLINED,
    ],
}
NON_REPEATABLE = forwarding_site.route(routes.RequestKind.ONCE)
REPEATABLE = forwarding_site.route(
    routes.RequestKind.REPEATABLE, objective_ms=400.0
)
STREAM = forwarding_site.route(routes.RequestKind.STREAM)


def stream_script(text):
    """Return the actions of words such as ``head 1 2 crash``."""
    actions = []
    is_framed = True
    for word in text.split():
        match word:
            case 'unframed':
                is_framed = False
                actions.append(
                    scripted_endpoint.STREAM_HEAD.replace(
                        b'Transfer-Encoding: chunked\r\n', b''
                    )
                )
            case 'unnamed':
                actions.append(
                    scripted_endpoint.STREAM_HEAD.replace(
                        b'Request-Id: {id}\r\n', b''
                    )
                )
            case 'unproven':
                actions.append(
                    scripted_endpoint.answer(b'', b'503 Service Unavailable')
                )
            case 'end' if not is_framed:
                actions.append('close')
            case 'head':
                actions.append(scripted_endpoint.STREAM_HEAD)
            case 'half' if not is_framed:
                actions.append(b'id: 2\ndata: ')
            case 'half':
                actions.append(scripted_endpoint.chunk(b'id: 2\ndata: '))
            case 'spoilt':
                # An event that may be repeated, and bytes that are none.
                spoilt = b'id: 2\ndata: t2\n\nwrong bytes\n\n'
                actions.append(
                    scripted_endpoint.chunk(spoilt) if is_framed else spoilt
                )
            case 'misframed':
                actions.append(scripted_endpoint.event(2) + b'wrong bytes')
            case 'spoiltfirst':
                actions.append(
                    scripted_endpoint.STREAM_HEAD
                    + scripted_endpoint.chunk(
                        b'id: 1\ndata: t1\n\nwrong bytes\n\n'
                    )
                )
            case 'rest':
                actions.append(scripted_endpoint.chunk(b't2\n\n'))
            case 'comment':
                actions.append(scripted_endpoint.chunk(b': open\n\n'))
            case 'end':
                actions.append(scripted_endpoint.STREAM_END)
            case 'crash':
                actions += [0.02, 'reset']
            case 'die' | 'exit':
                actions += [0.02, word]
            case 'hang' | 'together':
                actions.append(word)
            case 'pause':
                actions.append(PAUSE_S)
            case 'silence':
                actions.append(SILENCE_S)
            case 'declined':
                actions.append(scripted_endpoint.DECLINED)
            case 'error':
                actions.append(scripted_endpoint.answer(b'', b'500 Broken'))
            case 'unknown':
                actions.append(scripted_endpoint.answer(b'', b'404 None'))
            case number if not is_framed:
                actions.append(
                    b'id: %s\ndata: t%s\n\n' % (2 * (number.encode(),))
                )
            case number:
                actions.append(scripted_endpoint.event(int(number)))
    return actions


@behave.given('endpoints that play "{first}" and "{second}"')
def two_endpoints(context, first, second):
    context.scripts = [
        [CALL_SCRIPTS[name], CALL_SCRIPTS['complete']]
        for name in (first, second)
    ]


@behave.given('an endpoint that plays "{first}" and "{second}"')
def one_endpoint(context, first, second):
    context.scripts = [[CALL_SCRIPTS[first], CALL_SCRIPTS[second]]]


@behave.given('endpoints that refuse connections')
def refusing_endpoints(context):
    context.scripts = [[], []]
    context.refuses = True


@behave.given('stream endpoints that play "{first}" and "{second}"')
def stream_endpoints(context, first, second):
    context.scripts = [
        [stream_script(text) for text in texts.split(', ')]
        for texts in (first, second)
    ]


@behave.given('stream endpoints that play')
def stream_endpoints_table(context):
    context.scripts = [
        [stream_script(text) for text in row['scripts'].split(', ')]
        for row in context.table
    ]


def _run_site(context, act):
    async def run():
        scripted = [
            await scripted_endpoint.ScriptedEndpoint(*scripts).start()
            for scripts in context.scripts
        ]
        if 'refuses' in context:
            for each in scripted:
                await each.stop()
        site = forwarding_site.ForwardingSite(scripted)
        if 'prepare' in context:
            context.prepare(site)
        started_s = time.monotonic()
        try:
            result = await act(site)
        finally:
            context.taken_ms = (time.monotonic() - started_s) * 1000
            await asyncio.sleep(0.05)
            for each in scripted:
                await each.stop()
        context.site = site
        context.scripted = scripted
        return result

    return asyncio.run(run())


@behave.given(
    'the row of endpoint {number:d} expired in an outage of the store'
)
def row_expired(context, number):
    def prepare(site):
        registry = site.state.registry
        registry.mark_store_unavailable()
        registry.mark_store_available(time.monotonic())
        registry.remove(f'e{number - 1}', 2, time.monotonic())

    context.prepare = prepare


@behave.given('endpoint {number:d} announces during the stream that it leaves')
def leaves_during_stream(context, number):
    def announce(site):
        registry = site.state.registry
        endpoint = registry.get(f'e{number - 1}')
        registry.update(endpoint._replace(is_leaving=True), 2)

    context.prepare = lambda site: site.on_started.append(announce)


@behave.given('a probe of an endpoint takes {time_ms:d} ms')
def slow_probe(context, time_ms):
    async def accepts_connections(address):
        await asyncio.sleep(time_ms / 1000)
        return False

    patch = mock.patch.object(
        probes, 'accepts_connections', accepts_connections
    )
    patch.start()
    context.cleanups.append(patch.stop)


@behave.given('the retry budget is empty for {time_ms:d} ms')
def budget_empty(context, time_ms):
    def prepare(site):
        budget = site.context.budget
        budget.resize(0.0, 0.0)
        asyncio.get_running_loop().call_later(
            time_ms / 1000, budget.resize, 0.0, 1.0
        )

    context.prepare = prepare


@behave.when('a repeatable call is made')
def repeatable_call(context):
    context.reply = _run_site(context, lambda site: site.call(REPEATABLE))


@behave.when('two repeatable calls are made one after the other')
def two_calls(context):
    async def act(site):
        await site.call(REPEATABLE)
        await asyncio.sleep(0.15)
        return await site.call(REPEATABLE, request_id='req-2')

    context.reply = _run_site(context, act)


@behave.when('two non-repeatable calls are made one after the other')
def two_non_repeatable_calls(context):
    async def act(site):
        await site.call(NON_REPEATABLE)
        await asyncio.sleep(0.05)
        return await site.call(NON_REPEATABLE, request_id='req-2')

    context.reply = _run_site(context, act)


@behave.when('a non-repeatable call is made')
def non_repeatable_call(context):
    context.reply = _run_site(context, lambda site: site.call(NON_REPEATABLE))


@behave.when('a non-repeatable call is made with {left_ms:d} ms left')
def call_with_time_left(context, left_ms):
    context.reply = _run_site(
        context, lambda site: site.call(NON_REPEATABLE, left_ms / 1000)
    )


@behave.then('the caller gets status {status:d} and the body "{body}"')
def caller_gets(context, status, body):
    assert isinstance(context.reply, exchange.Answered), context.reply
    assert context.reply.head.status == status, context.reply
    assert context.reply.body == body.encode(), context.reply


def _requests(context):
    return [head for each in context.scripted for head in each.heads]


@behave.then('the endpoints received {count:d} requests')
def received_requests(context, count):
    assert len(_requests(context)) == count, _requests(context)


@behave.then('the endpoints received {count:d} connections')
def received_connections(context, count):
    found = sum(each.connections for each in context.scripted)
    assert found == count, found


@behave.then('endpoint {number:d} received no request')
def received_no_request(context, number):
    assert not context.scripted[number - 1].heads


@behave.then('the outcome is unknown')
def outcome_unknown(context):
    assert isinstance(context.reply, replies.Failure), context.reply
    assert not context.reply.is_late


@behave.then('the outcome is unknown and late')
def outcome_late(context):
    assert isinstance(context.reply, replies.Failure), context.reply
    assert context.reply.is_late


@behave.then('the outcome of the stream is unknown')
def stream_outcome_unknown(context):
    assert isinstance(context.reply, replies.Failure), context.reply


@behave.then('the call is refused as not run')
@behave.then('the stream is refused as not run')
def refused(context):
    assert isinstance(context.reply, replies.Refusal), context.reply
    assert context.reply.retry_after_s > 0


@behave.then('it took at most {limit_ms:d} ms')
def took_at_most(context, limit_ms):
    assert context.taken_ms <= limit_ms, context.taken_ms


@behave.then('the endpoint received "{text}"')
def endpoint_received(context, text):
    assert any(text in head for head in _requests(context)), _requests(context)


@behave.then('the endpoint did not receive "{text}"')
def endpoint_did_not_receive(context, text):
    assert not any(text in head for head in _requests(context))


def _stream(context, its_route, **settings):
    context.reply, context.sink = _run_site(
        context, lambda site: site.stream(its_route, **settings)
    )


@behave.when('a stream is made')
def stream_made(context):
    _stream(context, STREAM)


@behave.when('a stream is made with {left_ms:d} ms left')
def stream_with_time_left(context, left_ms):
    _stream(context, STREAM, wait_s=left_ms / 1000)


@behave.when('a stream is made after event {last:d}')
def stream_after(context, last):
    _stream(context, STREAM, last_event=last)


@behave.when('a stream that may not be resumed is made')
def non_resumable_stream(context):
    _stream(context, STREAM._replace(is_resumable=False))


def events_between(first, last):
    """Return the bytes of consecutive events."""
    return b''.join(
        b'id: %d\ndata: t%d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


@behave.when('{count:d} other prompts have come')
def other_prompts(context, count):
    context.other_prompts = count


@behave.when('streams with these shared segments are made in turn')
def streams_with_segments(context):
    async def act(site):
        for number in range(getattr(context, 'other_prompts', 0)):
            site.context.quarantine.record_prompt(
                forwarding_site.SERVICE, [f'other-{number}']
            )
        return [
            await site.stream(
                STREAM,
                segments=tuple(row['segments'].split()),
                request_id=f'req-{number}',
            )
            for number, row in enumerate(context.table)
        ]

    context.streams = _run_site(context, act)


@behave.when('these streams run at the same time, the first of them last')
def streams_at_once(context):
    async def act(site):
        # The first stream is sent to the last endpoint, as the others look
        # busier.
        stats = site.tracker.stats('e2')
        streams, stats.streams = stats.streams, -10
        first, *others = context.table
        waiting = asyncio.create_task(
            site.stream(STREAM, segments=tuple(first['segments'].split()))
        )
        await asyncio.sleep(0.05)
        stats.streams = streams
        found = await asyncio.gather(
            waiting,
            *(
                site.stream(
                    STREAM,
                    segments=tuple(row['segments'].split()),
                    request_id=f'req-{number}',
                )
                for number, row in enumerate(others, 2)
            ),
        )
        return found

    context.streams = _run_site(context, act)


@behave.then('the streams end as')
def streams_end_as(context):
    found = [_stream_end(reply) for reply, _ in context.streams]
    assert found == [row['end'] for row in context.table], found


def _stream_end(reply):
    match reply:
        case replies.Streamed(is_complete):
            return 'complete' if is_complete else 'broken off'
        case replies.Refusal(code, retry_after_s) if retry_after_s > 0:
            return f'refused {code.name}'
        case replies.Failure(code):
            return f'failed {code.name}'
        case _:
            return str(reply)


@behave.then('the endpoints received these counts of requests: "{counts}"')
def request_counts(context, counts):
    found = ' '.join(str(len(each.heads)) for each in context.scripted)
    assert found == counts, found


@behave.then('its caller gets the events {first:d} to {last:d} and the end')
def complete_stream(context, first, last):
    assert context.reply == replies.Streamed(True), context.reply
    assert context.sink.content == events_between(first, last), (
        context.sink.content
    )


@behave.then('its caller gets the event {number:d} and no end')
def interrupted_stream(context, number):
    assert context.reply == replies.Streamed(False), context.reply
    assert context.sink.content == events_between(number, number)


@behave.then(
    'endpoint {number:d} was asked to resume after event {last:d} '
    'from the copy of {source:d}'
)
def asked_to_resume(context, number, last, source):
    endpoint = context.scripted[number - 1]
    assert f'last-event-id: {last}\r\n' in endpoint.heads[0], endpoint.heads
    copy = f'kv-from: {endpoint.address}/{forwarding_site.REQUEST_ID}\r\n'
    assert copy in endpoint.heads[0], endpoint.heads
    backup = f'kv-backup: {endpoint.address}\r\n'
    assert backup in context.scripted[source - 1].heads[0]


@behave.then('the connection to endpoint {number:d} was closed')
def connection_closed(context, number):
    assert context.scripted[number - 1].closed_by_peer == 1


@behave.then('{count:d} attempt was made at endpoints in the state "{state}"')
def attempts_in_state(context, count, state):
    registry = context.site.context.counters.registry
    content, _ = renderer.render(registry, [])
    found = [
        line.rpartition(' ')[2]
        for line in content.decode().splitlines()
        if line.startswith('godwitvalve_sends_total')
        and f'state="{state}"' in line
    ]
    assert found == [str(count)], content
