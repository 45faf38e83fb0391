"""Steps for connections that cost more than they bring."""

from __future__ import annotations

import asyncio
import functools
import pathlib
import tempfile
import time

import behave
from features.doubles import call_load
from features.doubles import flooding_endpoint
from standins.fleet import site as fleet_site

FLOODED = 'flooded'
FLOOD_PREFIX = '/floods/'
CHUNK = b'1\r\nx\r\n'
PIECE = CHUNK * (64 * 1024 // len(CHUNK))
HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
# Bytes before the flood, and the bytes that are repeated.
FLOODS = {
    'chunks of one byte': (HEAD, PIECE),
    # Each head is complete, so that all of its lines are parsed.
    'heads of many lines': (
        b'',
        b'HTTP/1.1 100 Continue\r\n' + b'a:b\r\n' * 12000 + b'\r\n',
    ),
}
# The load of the flood is there before the first sound call.
LEAD_S = 0.5


def _configuration():
    configuration = fleet_site.configuration(5)
    configuration['routes'].append(
        fleet_site.route('r-f', FLOOD_PREFIX, 'non_idempotent', FLOODED)
    )
    configuration['services'].append(
        {'name': FLOODED, 'health_path': '/healthz'}
    )
    return configuration


def _start(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    fleet = fleet_site.FleetSite(pathlib.Path(folder.name))
    context.cleanups.append(fleet.stop)
    fleet.write_row('op', 'config', _configuration())
    for number in range(3):
        fleet.start_replica(f's{number}', 'desk', f'fd-{number}')
    context.fleet = fleet


def _start_entry(context):
    context.address = context.fleet.start_entry('e0', 'fd-0', memory_mb=150.0)
    fleet_site.wait_ready(context.fleet, 'e0')


@behave.given('an entry with a sound service')
def sound_service(context):
    _start(context)
    _start_entry(context)


@behave.given(
    'an entry with a sound service and {count:d} endpoints that send "{flood}"'
)
def costly_endpoints(context, count, flood):
    _start(context)
    flood = flooding_endpoint.FloodingEndpoint(*FLOODS[flood])
    asyncio.run(flood.start())
    context.cleanups.append(lambda: asyncio.run(flood.stop()))
    for number in range(count):
        name = f'f{number}'
        row = context.fleet.endpoint_row(
            name, FLOODED, f'fd-{number % 3}', address=flood.address
        )
        context.fleet.write_row('servers', name, row)
    _start_entry(context)


def _run(context, costly, sound_count, limit_s):
    until_s = time.monotonic() + limit_s
    flood = call_load.CallLoad(*costly, until_s)
    context.cleanups.append(flood.stop)
    time.sleep(LEAD_S)
    sound = call_load.CallLoad(
        sound_count,
        functools.partial(
            call_load.call, context.address, fleet_site.CALL_PREFIX
        ),
        until_s,
    )
    context.cleanups.append(sound.stop)
    context.sound = sound.results()
    context.costly = flood.results()


@behave.when(
    '{count:d} callers call these endpoints and {sound:d} call the sound '
    'service for {limit_s:d} s'
)
def call_costly(context, count, sound, limit_s):
    send = functools.partial(call_load.call, context.address, FLOOD_PREFIX)
    _run(context, (count, send), sound, limit_s)


@behave.when(
    '{count:d} callers send it chunks of one byte and {sound:d} call the '
    'sound service for {limit_s:d} s'
)
def send_costly(context, count, sound, limit_s):
    send = functools.partial(
        call_load.send_endless, context.address, fleet_site.CALL_PREFIX, PIECE
    )
    _run(context, (count, send), sound, limit_s)


@behave.then(
    'each call to the sound service was answered within {limit_ms:d} ms'
)
def answered_within(context, limit_ms):
    unanswered = [each for each in context.sound if each.status != 200]
    slowest_s = max(each.taken_s for each in context.sound)
    seen = f'{len(context.sound)} calls, slowest {slowest_s:.3f} s'
    assert not unanswered, f'{seen}, {unanswered}'
    assert slowest_s * 1000 < limit_ms, seen
    print(seen)


@behave.then('each body without end was refused with 400 or 408')
def refused(context):
    others = [each for each in context.costly if each.status not in (400, 408)]
    assert context.costly and not others, others
