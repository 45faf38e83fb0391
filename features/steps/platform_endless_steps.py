"""Steps for a store and entries that send bytes without end."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import time

import behave
from features.doubles import flooding_endpoint
from features.doubles import monitor
from features.doubles import sound_calls
from godwitvalve.forwarding import sockets
from godwitvalve.ingress import peer_tables
from godwitvalve.parsing import connectors
from godwitvalve.platform import store

MIB = 1024 * 1024
OLDEST_GENERATION = 2
FAST_PIECE_BYTES = 64 * 1024
SLOW_PAUSE_S = 0.02
RETRY_PAUSE_S = 0.1
PAGE_ROWS = 500
PAGE_VALUE_BYTES = 1200
# Together 60 MB, and more than can be read within the limit.
LONG_PAGES = 90
SAME_PAGES = 20000
# Fit into the longest body.
VERY_MANY_ROWS = 200_000
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
# Bytes before the flood, and the bytes that are repeated.
FLOODS = {
    'a head': (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x'),
    'many fields': (b'HTTP/1.1 200 OK\r\n', b'X-Field: y\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'a body': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n',
        b'x',
    ),
    'chunks of one byte': (CHUNKED, b'1\r\nx\r\n'),
    'chunk extensions': (CHUNKED + b'1;', b'x'),
    'trailers': (CHUNKED + b'0\r\n', b'X-Trailer: y\r\n'),
    'garbage': (b'', b'\x00\xff'),
}


@behave.given('a {source} that floods with "{name}"')
def flooding_source(context, source, name):
    prefix, piece = FLOODS[name]
    context.source = source
    context.endpoint = flooding_endpoint.FloodingEndpoint(
        prefix,
        piece * (FAST_PIECE_BYTES // len(piece)),
        request_end=b'\r\n\r\n',
    )


@behave.given('a {source} that slowly sends "{name}"')
def slow_source(context, source, name):
    context.source = source
    context.endpoint = flooding_endpoint.FloodingEndpoint(
        *FLOODS[name], SLOW_PAUSE_S, request_end=b'\r\n\r\n'
    )


@behave.given(
    'a store that answers with a table of {count:d} rows in chunks of one byte'
)
def slow_table(context, count):
    rows = [{'key': f's{n}', 'ver': n + 1, 'value': ''} for n in range(count)]
    body = json.dumps({'ver': count, 'rows': rows}).encode()
    chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in body)
    context.source = 'store'
    context.endpoint = flooding_endpoint.FloodingEndpoint(
        CHUNKED + chunks + b'0\r\n\r\n', b'', 1.0, request_end=b'\r\n\r\n'
    )


def _page(first, count, value):
    rows = [
        {'key': f's{number:09d}', 'ver': 1, 'value': value}
        for number in range(first, first + count)
    ]
    page = {'ver': 1, 'has_more': True, 'rows': rows}
    return _answer(json.dumps(page).encode())


def _answer(body):
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )


@behave.given('a store that answers with "{name}"')
def store_with_pages(context, name):
    value = 'x' * PAGE_VALUE_BYTES
    pages = {
        'the same page': lambda: [_page(0, 1, '')] * SAME_PAGES,
        'pages of keys': lambda: [
            _page(number * PAGE_ROWS, PAGE_ROWS, value)
            for number in range(LONG_PAGES)
        ],
        'very many rows': lambda: [
            _answer(
                b'{"ver":1,"rows":[%s]}'
                % b','.join([b'{"key":"a","ver":1}'] * VERY_MANY_ROWS)
            )
        ],
    }
    context.source = 'store'
    context.endpoint = flooding_endpoint.FloodingEndpoint(
        b'', b'', 1.0, pages[name](), request_end=b'\r\n\r\n'
    )


async def _read_table(source, address):
    if source == 'store':
        client = store.StoreClient(address)
        try:
            return await client.rows('servers')
        finally:
            await client.close()
    async with connectors.new_session(
        socket_factory=sockets.create
    ) as session:
        return await peer_tables.PeerSource(address, session).rows('servers')


def _full_collections():
    return gc.get_stats()[OLDEST_GENERATION]['collections']


@behave.when('a table is read from it')
def read_table(context):
    async def run():
        await context.endpoint.start()
        # One that is due because of earlier scenarios must not count.
        gc.collect()
        collections_before = _full_collections()
        context.monitor = monitor.Monitor()
        monitoring = asyncio.create_task(context.monitor.run())
        started_s = time.monotonic()
        context.is_unavailable = False
        try:
            context.rows_answer = await _read_table(
                context.source, context.endpoint.address
            )
        except store.StoreUnavailable:
            context.is_unavailable = True
        context.taken_s = time.monotonic() - started_s
        context.full_collections = _full_collections() - collections_before
        monitoring.cancel()
        await asyncio.sleep(0.15)
        context.caller_connections = context.endpoint.caller_connections
        context.connections_left = await context.endpoint.connections_left()
        await context.endpoint.stop()

    asyncio.run(run())


async def _read_until(source, address, end_s):
    while time.monotonic() < end_s:
        with contextlib.suppress(store.StoreUnavailable):
            await _read_table(source, address)
        await asyncio.sleep(RETRY_PAUSE_S)


@behave.when('{count:d} readers read tables from it beside sound calls')
def read_tables(context, count):
    context.sound_calls = sound_calls.SoundCalls()

    async def flood(end_s):
        await asyncio.gather(
            *(
                _read_until(context.source, context.endpoint.address, end_s)
                for _ in range(count)
            )
        )

    async def run():
        await context.endpoint.start()
        await context.sound_calls.run(flood)
        await context.endpoint.stop()

    asyncio.run(run())
    context.monitor = context.sound_calls.monitor


@behave.then('the source counts as unavailable within {limit_ms:d} ms')
def unavailable(context, limit_ms):
    assert context.is_unavailable
    assert context.taken_s * 1000 <= limit_ms, context.taken_s


@behave.then(
    'reading did not delay other requests by more than {limit_ms:d} ms'
)
def reading_delayed(context, limit_ms):
    assert context.monitor.delay_s * 1000 <= limit_ms, context.monitor.delay_s


@behave.then('{count:d} rows were read')
def rows_read(context, count):
    assert not context.is_unavailable
    assert len(context.rows_answer.rows) == count, context.rows_answer


@behave.then('reading caused no full garbage collection')
def no_full_collection(context):
    assert context.full_collections == 0, context.full_collections


@behave.then('reading took at most {limit_mib:d} MiB of memory')
def reading_took(context, limit_mib):
    assert context.monitor.grown_bytes <= limit_mib * MIB, (
        context.monitor.grown_bytes
    )


@behave.then('the connection to the source was closed')
def source_closed(context):
    assert context.caller_connections == 0, context.caller_connections
    assert context.connections_left == 0, context.connections_left
