"""Steps for a store and entries that send bytes without end."""

from __future__ import annotations

import asyncio
import gc
import time

import aiohttp
import behave
from features.doubles import flooding_endpoint
from features.doubles import monitor
from godwitvalve.forwarding import sockets
from godwitvalve.ingress import peer_tables
from godwitvalve.platform import store

MIB = 1024 * 1024
OLDEST_GENERATION = 2
FAST_PIECE_BYTES = 64 * 1024
SLOW_PAUSE_S = 0.02
# Bytes before the flood, and the bytes that are repeated.
FLOODS = {
    'a head': (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x'),
    'many fields': (b'HTTP/1.1 200 OK\r\n', b'X-Field: y\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'a body': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n',
        b'x',
    ),
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


async def _read_table(source, address):
    if source == 'store':
        client = store.StoreClient(address)
        try:
            await client.rows('servers')
        finally:
            await client.close()
        return
    connector = aiohttp.TCPConnector(socket_factory=sockets.create)
    async with aiohttp.ClientSession(connector=connector) as session:
        await peer_tables.PeerSource(address, session).rows('servers')


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
            await _read_table(context.source, context.endpoint.address)
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


@behave.then('the source counts as unavailable within {limit_ms:d} ms')
def unavailable(context, limit_ms):
    assert context.is_unavailable
    assert context.taken_s * 1000 <= limit_ms, context.taken_s


@behave.then(
    'reading did not delay other requests by more than {limit_ms:d} ms'
)
def reading_delayed(context, limit_ms):
    assert context.monitor.delay_s * 1000 <= limit_ms, context.monitor.delay_s


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
