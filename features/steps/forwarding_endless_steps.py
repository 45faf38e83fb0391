"""Steps for endpoints that send bytes without end."""

from __future__ import annotations

import asyncio
import time

from aioprometheus import renderer
import behave
from features.doubles import flooding_endpoint
from features.doubles import forwarding_site
from features.doubles import monitor
from features.doubles import scripted_endpoint
from godwitvalve.fleet import routes
from godwitvalve.forwarding import exchange
from godwitvalve.forwarding import message_memory
from godwitvalve.forwarding import replies

MIB = 1024 * 1024
FAST_PIECE_BYTES = 64 * 1024
# At most 64 MB/s for each connection.
FAST_PAUSE_S = 0.001
SLOW_PAUSE_S = 0.02
NON_REPEATABLE = forwarding_site.route(
    routes.RequestKind.ONCE, objective_ms=400.0
)
REPEATABLE = forwarding_site.route(
    routes.RequestKind.REPEATABLE, objective_ms=1250.0
)
STREAM = forwarding_site.route(routes.RequestKind.STREAM, limit_ms=9000.0)

HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
EARLIER = HEAD.replace(b'{id}', b'earlier')
STREAM_BEGIN = (
    scripted_endpoint.STREAM_HEAD
    + scripted_endpoint.event(1)
    + scripted_endpoint.event(2)
)
# Almost as long as a head may be.
SHORT_LINES = b'a:b\r\n' * 12000
# Bytes before the flood, and the bytes that are repeated.
FLOODS = {
    'a head': (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'interim heads': (b'HTTP/1.1 100 Continue\r\n', b'X-Hint: y\r\n'),
    'a body': (HEAD + b'Content-Length: 99999999999\r\n\r\n', b'x'),
    'chunks of one byte': (CHUNKED, b'1\r\nx\r\n'),
    'chunk extensions': (CHUNKED + b'1;', b'x'),
    'trailers': (CHUNKED + b'0\r\n', b'X-Trailer: y\r\n'),
    'a body without a length': (HEAD + b'\r\n', b'x'),
    # Each is complete, so that all of its lines are parsed.
    'many short interim lines': (
        b'',
        b'HTTP/1.1 100 Continue\r\n' + SHORT_LINES + b'\r\n',
    ),
    'many short trailers': (
        CHUNKED + b'0\r\n' + SHORT_LINES,
        b'a:b\r\n',
    ),
    'an earlier answer': (
        EARLIER + b'Content-Length: 99999999999\r\n\r\n',
        b'x',
    ),
}
STREAM_FLOODS = {
    'a head': FLOODS['a head'],
    'interim answers': FLOODS['interim answers'],
    'a body of an error': (
        b'HTTP/1.1 500 Broken\r\nRequest-Id: {id}\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n',
        scripted_endpoint.chunk(b'x' * 64),
    ),
    'comments': (STREAM_BEGIN, scripted_endpoint.chunk(b': wait\n\n')),
    'blank lines': (STREAM_BEGIN, scripted_endpoint.chunk(b'\n')),
    'an event without end': (
        STREAM_BEGIN + scripted_endpoint.chunk(b'id: 3\ndata: '),
        scripted_endpoint.chunk(b'x'),
    ),
    'repeated events': (STREAM_BEGIN, scripted_endpoint.event(2)),
    'early comments': (
        scripted_endpoint.STREAM_HEAD,
        scripted_endpoint.chunk(b': wait\n\n'),
    ),
    'early blank lines': (
        scripted_endpoint.STREAM_HEAD,
        scripted_endpoint.chunk(b'\n'),
    ),
}


def _flooding(flood, is_slow, complete_answers=()):
    prefix, piece = flood
    if is_slow:
        return flooding_endpoint.FloodingEndpoint(
            prefix, piece, SLOW_PAUSE_S, complete_answers
        )
    copies = max(FAST_PIECE_BYTES // len(piece), 1)
    return flooding_endpoint.FloodingEndpoint(
        prefix, piece * copies, FAST_PAUSE_S, complete_answers
    )


def _complete():
    return scripted_endpoint.ScriptedEndpoint(
        *[[scripted_endpoint.answer()] for _ in range(30)]
    )


def _rest_of_stream():
    """Return an endpoint that sends what the caller does not have."""
    return scripted_endpoint.ResumingEndpoint(4)


@behave.given('an endpoint that floods with "{name}" and a complete one')
def flooded_call(context, name):
    context.flooding = [_flooding(FLOODS[name], False)]
    context.complete = _complete()


@behave.given('an endpoint that slowly sends "{name}" and a complete one')
def slow_call(context, name):
    context.flooding = [_flooding(FLOODS[name], True)]
    context.complete = _complete()


@behave.given('an endpoint that answers once, then floods with "{name}"')
def flooded_reuse(context, name):
    is_slow = name.endswith(' slowly')
    flood = FLOODS[name.removesuffix(' slowly')]
    context.flooding = [
        _flooding(flood, is_slow, [scripted_endpoint.answer()])
    ]
    context.complete = _complete()


@behave.given('a stream endpoint that floods with "{name}" and a complete one')
def flooded_stream(context, name):
    context.flooding = [_flooding(STREAM_FLOODS[name], False)]
    context.complete = _rest_of_stream()


@behave.given(
    'a stream endpoint that slowly sends "{name}" and a complete one'
)
def slow_stream(context, name):
    context.flooding = [_flooding(STREAM_FLOODS[name], True)]
    context.complete = _rest_of_stream()


@behave.given(
    'a stream endpoint that sends {count:d} events byte by byte with comments'
)
def byte_by_byte(context, count):
    script = [scripted_endpoint.STREAM_HEAD]
    for number in range(1, count + 1):
        event = b': sound\n\nid: %d\ndata: t%d\n\n' % (number, number)
        for position in range(len(event)):
            script += [
                scripted_endpoint.chunk(event[position : position + 1]),
                0.008,
            ]
    script.append(scripted_endpoint.STREAM_END)
    context.flooding = []
    context.complete = scripted_endpoint.ScriptedEndpoint(script)


@behave.given(
    'an endpoint whose answer of {size:d} bytes comes in chunks of one byte'
)
def small_chunks(context, size):
    script = [CHUNKED + scripted_endpoint.chunk(b'x') * size]
    script.append(scripted_endpoint.STREAM_END)
    context.flooding = []
    context.complete = scripted_endpoint.ScriptedEndpoint(script)


@behave.given(
    'a stream endpoint that sends {count:d} events after a comment each'
)
def many_events(context, count):
    comment = scripted_endpoint.chunk(b': sound\n\n')
    script = [
        scripted_endpoint.STREAM_HEAD,
        b''.join(
            comment + scripted_endpoint.event(number)
            for number in range(1, count + 1)
        ),
        scripted_endpoint.STREAM_END,
    ]
    context.flooding = []
    context.complete = scripted_endpoint.ScriptedEndpoint(script)


@behave.given(
    '{count:d} endpoints that flood with "{name}" and a complete one'
)
def many_flooding(context, count, name):
    context.flooding = [_flooding(FLOODS[name], False) for _ in range(count)]
    context.complete = _complete()


def _run(context, act, limit_bytes=message_memory.MIN_LIMIT_BYTES):
    async def run():
        endpoints = [*context.flooding, context.complete]
        for each in endpoints:
            await each.start()
        site = forwarding_site.ForwardingSite(
            endpoints, message_memory.MessageMemory(limit_bytes)
        )
        context.monitor = monitor.Monitor(lambda: site.memory.total_bytes)
        monitoring = asyncio.create_task(context.monitor.run())
        started_s = time.monotonic()
        try:
            result = await act(site)
        finally:
            context.taken_ms = (time.monotonic() - started_s) * 1000
            monitoring.cancel()
            await asyncio.sleep(0.15)
            context.caller_connections = [
                each.caller_connections for each in context.flooding
            ]
            context.connections_left = [
                await each.connections_left() for each in context.flooding
            ]
            for each in endpoints:
                await each.stop()
        context.site = site
        return result

    return asyncio.run(run())


@behave.when('a repeatable call of {wait_ms:d} ms is made')
def repeatable(context, wait_ms):
    context.reply = _run(
        context, lambda site: site.call(REPEATABLE, wait_ms / 1000)
    )


@behave.when('a non-repeatable call of {wait_ms:d} ms is made')
def non_repeatable(context, wait_ms):
    context.reply = _run(
        context, lambda site: site.call(NON_REPEATABLE, wait_ms / 1000)
    )


@behave.when('two non-repeatable calls of {wait_ms:d} ms are made')
def two_non_repeatable(context, wait_ms):
    async def act(site):
        await site.call(NON_REPEATABLE, wait_ms / 1000, 'first')
        return await site.call(NON_REPEATABLE, wait_ms / 1000, 'second')

    context.reply = _run(context, act)


@behave.when('a stream of {wait_ms:d} ms is made')
def stream(context, wait_ms):
    context.reply, context.sink = _run(
        context, lambda site: site.stream(STREAM, wait_ms / 1000)
    )


@behave.when(
    '{flooded:d} calls go to the flooding endpoints and {sound:d} to the '
    'complete one'
)
def many_calls(context, flooded, sound):
    async def act(site):
        number = len(context.flooding)
        flooded_calls = [
            asyncio.create_task(
                site.send_to(f'e{index % number}', 2.0, f'flooded-{index}')
            )
            for index in range(flooded)
        ]
        await asyncio.sleep(0.3)
        sound_replies = await asyncio.gather(
            *(
                site.send_to(f'e{number}', 1.0, f'sound-{index}')
                for index in range(sound)
            )
        )
        await asyncio.gather(*flooded_calls, return_exceptions=True)
        return sound_replies

    context.replies = _run(context, act, 4 * MIB)


@behave.then('other requests were delayed by at most {limit_ms:d} ms')
def delayed(context, limit_ms):
    assert context.monitor.delay_s * 1000 <= limit_ms, context.monitor.delay_s


@behave.then('the flooding endpoint sent at most {limit_mib:d} MiB')
def sent(context, limit_mib):
    assert context.flooding[0].sent_bytes <= limit_mib * MIB, context.flooding[
        0
    ].sent_bytes


@behave.then('the connection to the flooding endpoint was reset')
def was_reset(context):
    assert not any(context.caller_connections), context.caller_connections
    assert not any(context.connections_left), context.connections_left


@behave.then('the flooding endpoint is ejected')
def ejected(context):
    assert context.site.tracker.stats('e0').failures >= 1


@behave.then('the call may have run and was sent once')
def may_have_run(context):
    assert isinstance(context.reply, replies.Failure), context.reply
    assert not context.complete.heads, context.complete.heads


@behave.then('the stream may have run')
def stream_may_have_run(context):
    assert isinstance(context.reply, replies.Failure), context.reply


@behave.then('the caller gets an answer of {size:d} bytes')
def whole_answer(context, size):
    assert isinstance(context.reply, exchange.Answered), context.reply
    assert context.reply.body == b'x' * size, context.reply


@behave.then('{count:d} lost attempt was counted as "{reason}"')
def lost_attempts(context, count, reason):
    registry = context.site.context.counters.registry
    content, _ = renderer.render(registry, [])
    lines = [
        line
        for line in content.decode().splitlines()
        if line.startswith('godwitvalve_lost_attempts_total')
        and f'reason="{reason}"' in line
    ]
    assert sum(float(line.split()[-1]) for line in lines) == count, content


@behave.then('the caller gets all {count:d} events')
def all_events(context, count):
    expected = b''.join(
        b'id: %d\ndata: t%d\n\n' % (number, number)
        for number in range(1, count + 1)
    )
    assert context.reply == replies.Streamed(True), context.reply
    assert context.sink.content == expected, context.sink.content


@behave.then('{count:d} attempt was made')
def attempts_made(context, count):
    assert len(context.complete.heads) == count, context.complete.heads


@behave.then('the answers in memory never exceeded {limit_mib:d} MiB')
def memory_limit(context, limit_mib):
    assert context.monitor.answer_bytes <= limit_mib * MIB, (
        context.monitor.answer_bytes
    )


@behave.then('the process grew by at most {limit_mib:d} MiB')
def process_grew(context, limit_mib):
    assert context.monitor.grown_bytes <= limit_mib * MIB, (
        context.monitor.grown_bytes
    )


@behave.then('the {count:d} calls to the complete endpoint succeeded')
def sound_calls(context, count):
    assert len(context.replies) == count
    for reply in context.replies:
        assert isinstance(reply, exchange.Answered), reply
