"""Steps for engines and plain services that send bytes without end."""

from __future__ import annotations

import asyncio
import contextlib
import time

import behave
from features.doubles import flooding_endpoint
from features.doubles import sound_calls
from godwitvalve.engine import http_adapter
from godwitvalve.engine import port as engine_port
from godwitvalve.outcomes import outcome
from godwitvalve.routing import endpoint
from godwitvalve.services import http
from godwitvalve.services import port
from godwitvalve.store import http_adapter as store_adapter
from godwitvalve.store import port as store_port
import orjson

from godwitvalve import clock

MIB = 1024 * 1024
PIECE_BYTES = 64 * 1024
RETRY_PAUSE_S = 0.1
CALL_LIMIT_S = 2.0
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
FLOODS = {
    'a head': (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x'),
    'many fields': (b'HTTP/1.1 200 OK\r\n', b'X-Field: y\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'chunks of one byte': (CHUNKED, b'1\r\nx\r\n'),
    'comments': (CHUNKED, b'3\r\n:\n\n\r\n'),
    'blank lines': (CHUNKED, b'1\r\n\n\r\n'),
    'trailers': (CHUNKED + b'0\r\n', b'X-Trailer: y\r\n'),
}
ORDER = engine_port.GenerationOrder(
    *('r-1', 1, 'prompt', (), 'm', 'v1', 'ad', 4, 40, 5, 0.0)
)


@contextlib.asynccontextmanager
async def _engine_client(place):
    """Yield a function that reads a stream."""
    async with http_adapter.new_session() as session:
        engine = http_adapter.HttpEngine(session)

        async def read():
            with contextlib.suppress(engine_port.EngineError):
                async for _ in engine.generate(place, ORDER):
                    pass

        yield read


@contextlib.asynccontextmanager
async def _service_client(place):
    """Yield a function that sends a request."""
    service = http.HttpPlainService(clock.SystemClock())

    async def read():
        deadline_s = time.time() + CALL_LIMIT_S
        request = port.PlainRequest('GET', '/x', (), b'', True, deadline_s)
        await service.send(place, request, outcome.SendAttempt())

    yield read
    await service.close()


@contextlib.asynccontextmanager
async def _platform_client(place):
    """Yield a function that reads a row."""
    async with store_adapter.HttpPlatform(
        f'http://{place.address}'
    ) as platform:

        async def read():
            with contextlib.suppress(store_port.PlatformUnavailable):
                await platform.read('t', 'k')

        yield read


REQUEST_ENDS = {'engine': b'}'}
CLIENTS = {
    'engine': _engine_client,
    'plain service': _service_client,
    'platform': _platform_client,
}


@behave.when(
    '{count:d} requests are sent to a {kind} that floods with "{name}"'
)
def send_requests(context, count, kind, name):
    prefix, piece = FLOODS[name]
    source = flooding_endpoint.FloodingEndpoint(
        prefix,
        piece * (PIECE_BYTES // len(piece)),
        request_end=REQUEST_ENDS.get(kind, b'\r\n\r\n'),
    )
    context.sound_calls = sound_calls.SoundCalls()

    async def read_until(read, end_s):
        while (left_s := end_s - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(read(), left_s)
            await asyncio.sleep(RETRY_PAUSE_S)

    async def flood(end_s):
        place = endpoint.Endpoint(
            'p1', source.address, 'fd-1', 's', 'v1', False
        )
        async with CLIENTS[kind](place) as read:
            await asyncio.gather(
                *(read_until(read, end_s) for _ in range(count))
            )

    async def run():
        await source.start()
        await context.sound_calls.run(flood)
        await source.stop()

    asyncio.run(run())


def _token_chunks(index, count):
    fields = {
        'type': 'tokens',
        'request_id': 'r',
        'attempt': 1,
        'first_index': index,
        'token_ids': [index],
        'pieces': ['x'],
    }
    event = b'data: %s\n\n' % orjson.dumps(fields)
    size = -(-len(event) // count)
    parts = [event[at : at + size] for at in range(0, len(event), size)]
    return b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)


@behave.when('an engine sends {count:d} tokens in {chunks:d} chunks each')
def send_tokens(context, count, chunks):
    chunks = b''.join(_token_chunks(index, chunks) for index in range(count))
    source = flooding_endpoint.FloodingEndpoint(
        CHUNKED + chunks + b'0\r\n\r\n', b'', 1.0, request_end=b'}'
    )
    context.token_ids = []

    async def run():
        await source.start()
        place = endpoint.Endpoint(
            'p1', source.address, 'fd-1', 's', 'v1', False
        )
        started_s = time.monotonic()
        async with http_adapter.new_session() as session:
            engine = http_adapter.HttpEngine(session)
            try:
                async for event in engine.generate(place, ORDER):
                    context.token_ids += event.token_ids
            except engine_port.EngineError as error:
                # The stream has no final event.
                context.reason = error.reason
        context.taken_s = time.monotonic() - started_s
        await source.stop()

    asyncio.run(run())


@behave.then('all {count:d} tokens are read within {limit_s:d} s')
def tokens_read(context, count, limit_s):
    assert context.reason == 'ended_early', context.reason
    assert context.token_ids == list(range(count)), len(context.token_ids)
    assert context.taken_s <= limit_s, context.taken_s


@behave.then('the flood delayed other requests by at most {limit_ms:d} ms')
def delayed(context, limit_ms):
    delay_s = context.sound_calls.monitor.delay_s
    assert delay_s * 1000 <= limit_ms, delay_s
