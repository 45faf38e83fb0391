"""Steps for configurations that entries pass on to each other."""

from __future__ import annotations

import asyncio
import logging
import random
import string
import time
import types
import zlib

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import behave
from features.doubles import log_records
from godwitvalve.fleet import consumers
from godwitvalve.fleet import relay
from godwitvalve.fleet import revisions
from godwitvalve.fleet import sources
from godwitvalve.fleet import state as states
from godwitvalve.gossip import members
from godwitvalve.ingress import control
from godwitvalve.ingress import membership
from godwitvalve.ingress import peer_tables
from godwitvalve.platform import configuration as wire_configuration
from godwitvalve.platform import store as stores
import msgspec

VERSION = 9
# Version of the row, which an earlier read ended below.
ROW_VERSION = 40
SYNC_LIMIT_S = 2.0


def _word(rng, length):
    return ''.join(
        rng.choices(string.ascii_lowercase + string.digits, k=length)
    )


def _route(rng):
    return {
        'name': f'r-{_word(rng, 7)}',
        'host': 'ficu95.example',
        'prefix': f'/{_word(rng, 7)}/',
        'kind': 'streaming',
        'timeout_ms': 25000,
        'target_latency_ms': 4515,
        'priority': 1,
        'service': 'huvo11a',
        'max_attempts': 5,
        'public': False,
        'session_affinity': True,
        'stream_resume': True,
        'gap_target_ms': 700,
    }


def _content(count):
    rng = random.Random(1)
    return msgspec.json.encode(
        {
            'version': VERSION,
            'routes': [_route(rng) for _ in range(count)],
            'services': [],
        }
    )


@behave.given('an entry that knows a configuration of {count:d} routes')
def entry_with_configuration(context, count):
    context.content = _content(count)
    context.answer_sizes = []
    state = states.FleetState()
    state.install(wire_configuration.decode(context.content))
    table = relay.TableRelay()
    row = stores.StoredRow(
        wire_configuration.KEY, ROW_VERSION, context.content
    )
    asyncio.run(
        table.update(
            sources.TableAnswer([row], ROW_VERSION, time.monotonic()), False
        )
    )
    handler = control.ControlHandler(
        None,
        state,
        peer_tables.RelayServer({wire_configuration.TABLE: table}),
        None,
    )

    async def handle(request):
        answer = await handler.handle(request)
        context.answer_sizes.append(len(answer.body))
        return answer

    context.handle = handle


@behave.given('an entry of an earlier version that knows a configuration')
def earlier_entry(context):
    context.content = _content(3)
    row = [wire_configuration.KEY, ROW_VERSION, context.content]

    async def handle(request):
        message = [ROW_VERSION, 0, 0, [row]]
        return web.Response(body=msgspec.msgpack.encode(message))

    context.handle = handle


@behave.given('an entry that sends {content} as a configuration')
def entry_sends(context, content):
    context.content = b''
    packed = {
        'damaged bytes': b'no compressed bytes',
        '100 MB of zeroes': zlib.compress(bytes(100 * 1000 * 1000)),
    }[content]
    row = [wire_configuration.KEY, ROW_VERSION, packed]

    async def handle(request):
        message = (
            [ROW_VERSION, 0, 0, [row], [wire_configuration.KEY]]
            if request.path == peer_tables.TABLE_PATH
            else [packed, [], True]
        )
        return web.Response(body=msgspec.msgpack.encode(message))

    context.handle = handle


async def _read_table(context, address, after):
    async with aiohttp.ClientSession() as session:
        source = peer_tables.PeerSource(address, session)
        table = wire_configuration.TABLE
        answer = (
            await source.rows(table)
            if after is None
            else await source.changes(
                table, stores.StoreRevision(0, after), 0.0
            )
        )
    context.consumer.apply_changes(
        answer.rows, revisions.UNKNOWN_ERAS, False, 0.0
    )


async def _synchronize(context, address):
    host, _, port = address.rpartition(':')
    record = members.Record(
        'a', 1, 1, members.SERVING, 'x:1', f'{host}:1', 'fd', VERSION
    )
    sync = membership.PeerSync(
        types.SimpleNamespace(control_address=f'{host}:{port}'),
        context.state,
        types.SimpleNamespace(alive=lambda now_s: [record]),
        context.consumer,
    )
    running = asyncio.create_task(sync.run())
    deadline_s = time.monotonic() + SYNC_LIMIT_S
    while context.state.version < VERSION and time.monotonic() < deadline_s:
        await asyncio.sleep(0.02)
        if running.done():
            await running
    running.cancel()


WAYS = {
    'as a table': lambda context, address: _read_table(context, address, None),
    'as a change': lambda context, address: _read_table(
        context, address, ROW_VERSION - 1
    ),
    'with the state of this entry': _synchronize,
}


TABLE_WAYS = ('as a table', 'as a change')


@behave.when('another entry gets it {way}')
def get_configuration(context, way):
    context.way = way
    context.state = states.FleetState()
    context.consumer = consumers.ConfigurationConsumer(
        context.state, lambda: None
    )
    context.failure = None

    async def run():
        server = test_utils.RawTestServer(context.handle)
        await server.start_server()
        try:
            await WAYS[way](context, f'{server.host}:{server.port}')
        except stores.StoreUnavailable as error:
            context.failure = error
        finally:
            await server.close()

    asyncio.run(run())


@behave.then('it has installed the same configuration')
def installed(context):
    assert context.failure is None, context.failure
    configuration = context.state.configuration
    assert configuration is not None
    assert configuration.source == context.content


@behave.then(
    'a link of {mbit_s:d} Mbit/s takes less than {limit_s:g} s for each answer'
)
def transfer_times(context, mbit_s, limit_s):
    taken_s = [size * 8 / (mbit_s * 1e6) for size in context.answer_sizes]
    assert taken_s and max(taken_s) < limit_s, taken_s


@behave.when('an entry of an earlier version asks for the table and the state')
def ask_without_compression(context):
    async def run():
        answers = []
        for path in (
            f'{peer_tables.TABLE_PATH}?table={wire_configuration.TABLE}',
            control.STATE_PATH,
        ):
            request = test_utils.make_mocked_request('GET', path)
            answers.append((await context.handle(request)).body)
        return answers

    context.answers = [
        msgspec.msgpack.decode(each) for each in asyncio.run(run())
    ]


@behave.then('both contain the configuration as it was stored')
def contain_stored(context):
    table, state = context.answers
    assert table[3][0][2] == context.content
    assert state[0] == context.content


@behave.then('the source counts as failed and nothing was installed')
def nothing_installed(context):
    assert context.state.configuration is None
    assert context.failure is not None or context.way not in TABLE_WAYS


@behave.given(
    'an entry that takes {span_s:g} s to adopt a configuration of {count:d} '
    'routes'
)
def slow_entry(context, span_s, count):
    records = log_records.LogRecords()
    logger = logging.getLogger('godwitvalve.fleet')
    level = logger.level
    logger.addHandler(records)
    logger.setLevel(logging.INFO)
    context.cleanups += [
        lambda: logger.setLevel(level),
        lambda: logger.removeHandler(records),
    ]
    context.content = _content(count)
    context.adopt_s = span_s
    consumer = consumers.ConfigurationConsumer(
        states.FleetState(), lambda: time.sleep(span_s)
    )
    began_s = time.monotonic()
    assert consumer.apply_content(
        context.content, revisions.UNKNOWN_ERAS, 'entry-1'
    )
    context.taken_ms = (time.monotonic() - began_s) * 1000
    context.records = records.records


@behave.then(
    'its log line states the size and the time to decode and to install it'
)
def states_durations(context):
    (line,) = (
        each
        for each in context.records
        if each.getMessage() == 'fleet: Installed a configuration.'
    )
    assert line.version == VERSION and line.installed_version == 0
    assert line.size_bytes == len(context.content), line.__dict__
    assert line.decode_ms > 0, line.__dict__
    assert line.install_ms >= context.adopt_s * 1000, line.__dict__
    # Both are rounded to 0.1 ms.
    total_ms = line.decode_ms + line.install_ms
    assert total_ms <= context.taken_ms + 0.1, (total_ms, context.taken_ms)
