"""Steps for the HTTP adapter of engines and the stand-in engine."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time

import behave
from features.doubles import engine_process
import hypothesis
from hypothesis import strategies
import orjson

from godwitvalve.engine import http_adapter
from godwitvalve.engine import port
from godwitvalve.engine import sse
from godwitvalve.engine import wire
from godwitvalve.routing import endpoint as endpoint_model
from standins.engine import tokens as engine_tokens

PROMPT = 'Write guidance for the committee.'
SEED = 4
LIMIT_S = 30
FUZZ = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)
_OPTIONS = ('--token-interval-ms', '2', '--orphan-limit-s', '0.5')


def _order(count, prefix=(), attempt=1, request='r-1', version='v1'):
    return port.GenerationOrder(
        *(request, attempt, PROMPT, tuple(prefix), 'm', version, 'ad', SEED),
        *(count, 5, time.time() + 60),
    )


def _expected(count):
    return engine_tokens.expected_tokens('v1', 'ad', SEED, PROMPT, count)


def _run(work):
    async def with_engine():
        async with http_adapter.new_session() as session:
            return await work(http_adapter.HttpEngine(session))

    return asyncio.run(asyncio.wait_for(with_engine(), LIMIT_S))


async def _read(stream, until=None):
    """Return the events up to a number of tokens, or to the end."""
    events = []
    count = 0
    async with contextlib.aclosing(stream):
        async for event in stream:
            events.append(event)
            if isinstance(event, port.Tokens):
                count += len(event.token_ids)
            if until is not None and count >= until:
                break
    return events


def _ids(events):
    return [
        token
        for event in events
        if isinstance(event, port.Tokens)
        for token in event.token_ids
    ]


@behave.given('a stand-in engine process')
def engine_started(context):
    _start(context)


@behave.given('a stand-in engine process that ignores fencing numbers')
def engine_without_fencing(context):
    _start(context, '--no-checks-fencing')


def _start(context, *options):
    context.engine_process = engine_process.EngineProcess(
        'e1', *_OPTIONS, *options
    )
    context.cleanups.append(context.engine_process.stop)
    context.endpoint = context.engine_process.endpoint


@behave.given("the engine fault switches '{switches}'")
def fault_switches(context, switches):
    context.engine_process.set_faults(**json.loads(switches))


def _generate(context, order):
    context.events = _run(
        lambda engine: _read(engine.generate(context.endpoint, order))
    )
    context.count = order.max_tokens


@behave.when('{count:d} tokens are generated')
def generate(context, count):
    _generate(context, _order(count))


@behave.when('{count:d} tokens are generated after a prefix of {length:d}')
def generate_after(context, count, length):
    _generate(context, _order(count, _expected(length)))


@behave.when('the same prompt is generated after a prefix of {length:d}')
def generate_again(context, length):
    order = _order(context.count, _expected(length), request='r-2')
    _generate(context, order)


@behave.then('the engine tokens match the seed')
def engine_tokens_expected(context):
    assert _ids(context.events) == _expected(context.count)


@behave.then('the engine tokens match the seed from index {first:d}')
def engine_tokens_expected_from(context, first):
    assert _ids(context.events) == _expected(context.count)[first:]


@behave.then('the engine stream ends with its final event')
def has_final_event(context):
    assert context.events[-1] == port.StreamEnded(
        'r-1', 1, 'length', context.count
    )


@behave.then('the second stream computed {count:d} prefill tokens')
def second_prefill(context, count):
    streams = context.engine_process.log()['streams']
    assert streams[-1]['prefill_tokens'] == count, streams
    assert streams[0]['prefill_tokens'] > 0, streams


@behave.when(
    'the connections become unresponsive after {after:d} of {count:d} tokens'
)
def unresponsive_after(context, after, count):
    async def work(engine):
        stream = engine.generate(context.endpoint, _order(count))
        events = []
        while len(_ids(events)) < after:
            events.append(await anext(stream))
        await asyncio.to_thread(
            context.engine_process.set_faults, silence_connections=True
        )
        # Tokens already in transit may still arrive.
        with contextlib.suppress(TimeoutError):
            while True:
                async with asyncio.timeout(0.5):
                    events.append(await anext(stream))
        await stream.aclose()
        return events

    events = _run(work)
    assert not any(isinstance(item, port.StreamEnded) for item in events)
    ids = tuple(_ids(events)[:after])
    pieces = tuple(map(str, ids))
    context.events = [events[0], port.Tokens('r-1', 1, 0, ids, pieces)]
    context.count = count
    context.after = after


@behave.when('the same request is generated again by attempt {attempt:d}')
def generate_newer(context, attempt):
    order = _order(20, attempt=attempt)
    _run(lambda engine: _read(engine.generate(context.endpoint, order)))


@behave.when('the engine stream is resumed at {first:d} by a newer attempt')
def resume_newer(context, first):
    _resume(context, first, 2)


@behave.when('the engine stream is resumed at {first:d} by the first attempt')
def resume_older(context, first):
    _resume(context, first, 1)


def _resume(context, first, attempt):
    order = _order(context.count, _expected(first), attempt)
    stream_id = context.events[0].stream_id
    context.error = None
    try:
        context.events += _run(
            lambda engine: _read(
                engine.resume(context.endpoint, stream_id, order)
            )
        )
    except port.EngineError as error:
        context.error = error


@behave.then('the engine computed {count:d} tokens for it')
def computed_tokens(context, count):
    (stream,) = context.engine_process.log()['streams']
    assert stream['generated_tokens'] == count, stream


@behave.then('the resume fails with reason "{reason}"')
def resume_fails(context, reason):
    assert context.error.reason == reason, context.error


@behave.when(
    'the engine stream is cancelled after {after:d} of {count:d} tokens'
)
def cancel_stream(context, after, count):
    async def work(engine):
        stream = engine.generate(context.endpoint, _order(count))
        events = await _read(stream, after)
        await engine.cancel(context.endpoint, events[0].stream_id)

    _run(work)


@behave.when(
    'the engine stream is abandoned after {after:d} of {count:d} tokens'
)
def abandon_stream(context, after, count):
    async def work(engine):
        await _read(engine.generate(context.endpoint, _order(count)), after)

    _run(work)


@behave.then(
    'the engine log has the end reason "{reason}" before {count:d} tokens'
)
def log_has_reason(context, reason, count):
    deadline_s = time.monotonic() + LIMIT_S
    while time.monotonic() < deadline_s:
        (stream,) = context.engine_process.log()['streams']
        if stream['end_reason']:
            break
        time.sleep(0.02)
    assert stream['end_reason'] == reason, stream
    assert stream['generated_tokens'] < count, stream


def _request_tokens(context, endpoint, version='v1'):
    context.error = None
    order = _order(5, version=version)
    try:
        context.events = _run(
            lambda engine: _read(engine.generate(endpoint, order))
        )
    except port.EngineError as error:
        context.error = error


@behave.when('{count:d} tokens of version "{version}" are requested')
def request_version(context, count, version):
    _request_tokens(context, context.endpoint, version)


def _local(number):
    return endpoint_model.Endpoint(
        'e', f'127.0.0.1:{number}', 'fd', 'm', 'v1', True
    )


@behave.when('{count:d} tokens are requested from a port without a listener')
def request_unbound_port(context, count):
    with socket.create_server(('127.0.0.1', 0)) as server:
        number = server.getsockname()[1]
    _request_tokens(context, _local(number))


@behave.then(
    'the engine request fails with reason "{reason}" after it was sent'
)
def fails_after_send(context, reason):
    assert context.error is not None, context.events
    assert (context.error.reason, context.error.sent) == (reason, True)


@behave.then(
    'the engine request fails with reason "{reason}" before it was sent'
)
def fails_before_send(context, reason):
    assert (context.error.reason, context.error.sent) == (reason, False)


_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
_OPEN = _HEAD + b'Connection: close\r\n\r\n'
_ANSWERS = {
    'nothing': b'',
    'not HTTP': b'\x00\xff\x16\x03' * 50,
    'a broken chunk': _HEAD + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
    'half an event': _OPEN + b'data: {"type":"heart',
    'an oversized event': _OPEN + b'data: ' + b'x' * 2**20,
    'an event without JSON': _OPEN + b'data: {\xff}\n\n',
    'an event of other type': _OPEN + b'data: {"type":"song"}\n\n',
    'a failure event': _OPEN + b'data: {"type":"failed"}\n\n',
}


@contextlib.asynccontextmanager
async def _raw_server(answer):
    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        with contextlib.suppress(OSError):
            await writer.drain()
            # Closes the sending side, so that the client can read everything.
            writer.write_eof()
            await reader.read()
        writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    async with server:
        yield _local(server.sockets[0].getsockname()[1])


@behave.when('a server answers with {content}')
def raw_answer(context, content):
    async def work(engine):
        async with _raw_server(_ANSWERS[content]) as endpoint:
            return await _read(engine.generate(endpoint, _order(5)))

    context.error = None
    try:
        context.events = _run(work)
    except port.EngineError as error:
        context.error = error


@behave.when("a server answers the load request with '{body}'")
def raw_load(context, body):
    async def work(engine):
        async with _raw_server(_OPEN + body.encode()) as endpoint:
            return await engine.load(endpoint)

    context.error = None
    try:
        _run(work)
    except port.EngineError as error:
        context.error = error


@behave.then('the load request fails with reason "{reason}"')
def load_fails(context, reason):
    assert context.error is not None
    assert context.error.reason == reason, context.error


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3),
    max_leaves=4,
)
_BODIES = strategies.fixed_dictionaries(
    {'type': strategies.sampled_from(('tokens', 'started', 'ended', 'x'))},
    optional={
        name: _VALUES | strategies.sampled_from((0, 1, 's', [1], ['a']))
        for name in (
            *('request_id', 'attempt', 'first_index', 'token_ids', 'pieces'),
            *('stream_id', 'version', 'adapter', 'seed', 'computed_tokens'),
            *('reason', 'token_count'),
        )
    },
)


@behave.then('random event streams give typed events or a protocol error')
def random_streams(context):
    seen = set()

    @FUZZ
    @hypothesis.given(
        strategies.lists(
            strategies.binary(max_size=30)
            | _BODIES.map(orjson.dumps)
            | strategies.just(b'data: {"type":"heartbeat"}\n\n'),
            max_size=5,
        ),
        strategies.booleans(),
    )
    def check(parts, framed):
        splitter = sse.EventSplitter(1000)
        chunks = [b'data: ' + p + b'\n\n' for p in parts] if framed else parts
        for chunk in chunks:
            try:
                events = http_adapter._decode(splitter.feed(chunk))
            except (
                sse.EventTooLarge,
                wire.MalformedEvent,
                wire.ReportedFailure,
            ) as error:
                seen.add(type(error).__name__)
                continue
            for event in events:
                seen.add(type(event).__name__)
                _check_types(event)

    check()
    assert {'Heartbeat', 'MalformedEvent'} <= seen, seen


def _check_types(event):
    if isinstance(event, port.Tokens):
        assert len(event.token_ids) == len(event.pieces) > 0
        assert all(0 <= token < 2**32 for token in event.token_ids)
        assert all(type(piece) is str for piece in event.pieces)
        assert 0 <= event.first_index < 2**32
    elif isinstance(event, port.StreamEnded):
        assert 0 <= event.token_count < 2**32


def _token_blocks(count):
    return b''.join(
        b'data: '
        + orjson.dumps(
            {
                'type': 'tokens',
                'request_id': 'r',
                'attempt': 1,
                'first_index': index,
                'token_ids': [index],
                'pieces': [f' é{index}'],
            }
        )
        + (b'\r\n\r\n' if index % 3 else b'\n\n')
        for index in range(count)
    )


@behave.then('random cuts of a valid stream give the same tokens')
def random_cuts(context):
    stream = _token_blocks(12)

    @FUZZ
    @hypothesis.given(
        strategies.lists(strategies.integers(0, len(stream)), max_size=12)
    )
    def check(cuts):
        splitter = sse.EventSplitter(1000)
        borders = [0, *sorted(cuts), len(stream)]
        events = []
        for start, end in zip(borders, borders[1:]):
            events += http_adapter._decode(splitter.feed(stream[start:end]))
        assert _ids(events) == list(range(12))
        assert splitter.is_empty

    check()


@behave.when('three token events arrive in one chunk')
def three_events(context):
    splitter = sse.EventSplitter(1000)
    context.events = http_adapter._decode(splitter.feed(_token_blocks(3)))


@behave.then('the adapter yields one event with all their tokens')
def one_event(context):
    assert context.events == [
        port.Tokens('r', 1, 0, (0, 1, 2), (' é0', ' é1', ' é2'))
    ]


@behave.when(
    'the orders {first:d}, {second:d} and {third:d} are sent to the engine'
)  # noqa: E501
def send_orders(context, first, second, third):
    async def work(engine):
        return [
            await engine.order(
                context.endpoint,
                port.EndpointOrder('m', 'v1', '', 'serve', number),
            )
            for number in (first, second, third)
        ]

    context.outcomes = _run(work)


@behave.then('their outcomes are "{outcomes}"')
def order_outcomes(context, outcomes):
    words = []
    for found in context.outcomes:
        match found:
            case port.OrderAccepted():
                words.append('accepted')
            case port.OrderRefused(newest):
                words.append(f'refused {newest}')
    assert ', '.join(words) == outcomes, context.outcomes


@behave.then('its load report has the state "{state}" and version "{version}"')
def load_state(context, state, version):
    report = _run(lambda engine: engine.load(context.endpoint))
    assert (report.state, report.version) == (state, version)


@behave.when('load reports are read before and after their connection hangs')
def read_over_reused_connection(context):
    async def reads():
        async with http_adapter.new_report_session() as session:
            engine = http_adapter.HttpEngine(session)
            context.reads = [await engine.load(context.endpoint)]
            await asyncio.to_thread(
                context.engine_process.set_faults,
                silence_connections=True,
                leaving=True,
            )
            for _ in range(2):
                try:
                    context.reads.append(await engine.load(context.endpoint))
                except port.EngineError as error:
                    context.reads.append(error)

    asyncio.run(asyncio.wait_for(reads(), LIMIT_S))


@behave.then('one load request fails and the next one reports "{state}"')
def one_read_fails(context, state):
    first, second, third = context.reads
    assert first.state == 'live', first
    assert isinstance(second, port.EngineError), second
    assert third.state == state, third
