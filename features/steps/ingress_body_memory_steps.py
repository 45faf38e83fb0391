"""Steps for entries that get many long bodies or answers at once."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import json
import pathlib
import socket
import tempfile
import time

import behave
from features.doubles import body_endpoint
from godwitvalve.outcomes import codes
from standins.fleet import site as fleet_site

MB = 1024 * 1024
MAX_BODY_BYTES = 4_194_304
SERVICES = {'desk': '/complaints/', 'flood': '/flooded/', 'long': '/long/'}
ENDPOINTS = 3
# Limit of a request at its caller.
ANSWER_LIMIT_S = 5.0
SAMPLE_S = 0.01
# Share of a body that is written at a time.
PIECE_BYTES = 64 * 1024
PAUSE_AFTER_REFUSAL_S = 0.3
LONG_ANSWER_BYTES = 8_000_000
# Receive buffer of a caller that does not read, how long it waits, and time
# between two of them, as answers that arrive together exceed their limit
# before they are complete.
UNREAD_BYTES = 4096
UNREAD_S = 4.0
UNREAD_PAUSE_S = 0.1


def _configuration():
    configuration = fleet_site.configuration(5)
    configuration['limits']['max_body_bytes'] = MAX_BODY_BYTES
    configuration['routes'] = [
        fleet_site.route(f'r-{service}', prefix, 'non_idempotent', service)
        for service, prefix in SERVICES.items()
    ]
    configuration['services'] = [
        {'name': service, 'health_path': '/healthz'} for service in SERVICES
    ]
    return configuration


def _private_bytes(process_id):
    status = pathlib.Path(f'/proc/{process_id}/status').read_text()
    for line in status.splitlines():
        if line.startswith('RssAnon'):
            return int(line.split()[1]) * 1024
    raise AssertionError('the entry ended')


def _is_refusal(head, content):
    code = json.loads(content)['code']
    return code == codes.ResultCode.BODY_MEMORY_EXHAUSTED and bool(
        body_endpoint.field(head, b'retry-after')
    )


class _Load:
    """Callers on kept connections, and what they got.

    A refusal is wrong unless it states the code and when to try again.
    """

    def __init__(self, address, until_s):
        self._address = address
        self._until_s = until_s
        self._number = 0
        self.statuses = collections.Counter()
        self.without_answer = []
        self.wrong = []
        self.slowest_s = 0.0

    async def call(self, prefix, body, is_chunked):
        """Send requests one after the other; counts what they got."""
        host, port = self._address.split(':')
        reader = writer = None
        while time.monotonic() < self._until_s:
            if writer is None:
                reader, writer = await asyncio.open_connection(host, port)
            self._number += 1
            request_id = f'r-{self._number}'
            began_s = time.monotonic()
            try:
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    status, is_kept = await self._ask(
                        reader, writer, prefix, body, is_chunked, request_id
                    )
            except (
                OSError,
                asyncio.IncompleteReadError,
                asyncio.TimeoutError,
            ) as error:
                self.without_answer.append((request_id, repr(error)))
                status, is_kept = 0, False
            self.slowest_s = max(self.slowest_s, time.monotonic() - began_s)
            self.statuses[prefix, status] += 1
            if not is_kept:
                writer.close()
                writer = None
            if status != 200:
                await asyncio.sleep(PAUSE_AFTER_REFUSAL_S)
        if writer is not None:
            writer.close()

    async def _ask(self, reader, writer, prefix, body, is_chunked, number):
        framing = (
            'Transfer-Encoding: chunked'
            if is_chunked
            else f'Content-Length: {len(body)}'
        )
        writer.write(
            f'POST {prefix}1 HTTP/1.1\r\nHost: {fleet_site.HOST}\r\n'
            f'Request-Id: {number}\r\nApi-Key: {fleet_site.KEY}\r\n'
            f'Deadline-Ms: 4000\r\n{framing}\r\n\r\n'.encode()
        )
        sending = asyncio.create_task(_send(writer, body, is_chunked))
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        finally:
            sending.cancel()
            sent = (await asyncio.gather(sending, return_exceptions=True))[0]
        length = int(body_endpoint.field(head, b'content-length'))
        content = await reader.readexactly(length)
        status = int(head.split()[1])
        digest = hashlib.sha256(body).hexdigest().encode()
        if status == 200 and content != digest:
            self.wrong.append(number)
        if status == 503 and not _is_refusal(head, content):
            self.wrong.append(number)
        is_closing = body_endpoint.field(head, b'connection') == b'close'
        return status, sent is None and not is_closing


async def _send(writer, body, is_chunked):
    for begin in range(0, len(body), PIECE_BYTES):
        piece = body[begin : begin + PIECE_BYTES]
        if is_chunked:
            writer.write(b'%x\r\n%s\r\n' % (len(piece), piece))
        else:
            writer.write(piece)
        await writer.drain()
    if is_chunked:
        writer.write(b'0\r\n\r\n')
        await writer.drain()


@behave.given('an entry on a machine of {memory_mb:d} MB')
def entry_with_memory(context, memory_mb):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    fleet = fleet_site.FleetSite(
        pathlib.Path(folder.name),
        getattr(context, 'entry_command', (fleet_site.ENTRY,)),
    )
    context.cleanups.append(fleet.stop)
    fleet.write_row('op', 'config', _configuration())
    context.fleet = fleet
    context.memory_mb = memory_mb


async def _start_endpoints(fleet, endless):
    started = []
    counts = {'desk': ENDPOINTS, 'flood': endless, 'long': ENDPOINTS}
    for service, count in counts.items():
        for number in range(count):
            name = f'i-{service}-{number}'
            endpoint = body_endpoint.BodyEndpoint(
                name,
                service == 'flood',
                LONG_ANSWER_BYTES if service == 'long' else 0,
            )
            started.append(await endpoint.start())
            row = fleet.endpoint_row(
                name, service, 'fd-0', address=endpoint.address
            )
            fleet.write_row('servers', name, row)
    return started


async def _watch(context):
    process_id = context.fleet.processes['entry-0'].pid
    while True:
        context.peak_bytes = max(
            context.peak_bytes, _private_bytes(process_id)
        )
        await asyncio.sleep(SAMPLE_S)


async def _play(context, callers, endless, duration_s, unread=0):
    endpoints = await _start_endpoints(context.fleet, endless)
    context.fleet.start_entry('entry-0', 'fd-0', memory_mb=context.memory_mb)
    await asyncio.to_thread(fleet_site.wait_ready, context.fleet, 'entry-0')
    context.peak_bytes = 0
    watching = asyncio.create_task(_watch(context))
    address = context.fleet.addresses['entry-0']
    until_s = time.monotonic() + duration_s
    load = context.load = _Load(address, until_s)
    try:
        await asyncio.gather(
            *(load.call(*each) for each in callers),
            *(
                _leave_unread(address, until_s, number * UNREAD_PAUSE_S)
                for number in range(unread)
            ),
        )
    finally:
        watching.cancel()
        for endpoint in endpoints:
            await endpoint.stop()
    print(
        f'private memory at most {context.peak_bytes / MB:.0f} MB, '
        f'{dict(load.statuses)}, slowest {load.slowest_s:.2f} s, '
        f'without an answer: {len(load.without_answer)}'
    )


@behave.when(
    '{count:d} callers send bodies of {size:d} bytes {framing} for '
    '{duration_s:d} s'
)
def send_bodies(context, count, size, framing, duration_s):
    is_chunked = framing == 'in chunks'
    callers = [('/complaints/', bytes(size), is_chunked)] * count
    asyncio.run(_play(context, callers, 0, duration_s))


@behave.when(
    '{count:d} callers send bodies of {size:d} bytes, and {endless:d} call '
    'as many endless endpoints, for {duration_s:d} s'
)
def send_beside_endless(context, count, size, endless, duration_s):
    callers = [
        *[('/complaints/', bytes(size), False)] * count,
        *[('/flooded/', b'short', False)] * endless,
    ]
    asyncio.run(_play(context, callers, endless, duration_s))


async def _leave_unread(address, until_s, pause_s):
    """Ask for a long answer, leave it unread for a while, and ask again."""
    host, port = address.split(':')
    await asyncio.sleep(pause_s)
    while time.monotonic() < until_s:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(
                sock, (host, int(port))
            )
            sock.send(
                f'GET /long/1 HTTP/1.1\r\nHost: {fleet_site.HOST}\r\n'
                f'Request-Id: unread-{sock.getsockname()[1]}\r\n'
                f'Api-Key: {fleet_site.KEY}\r\n\r\n'.encode()
            )
            await asyncio.sleep(UNREAD_S)
        finally:
            sock.close()


@behave.when(
    '{count:d} callers leave answers of {size:d} bytes unread and {short:d} '
    'make short calls, for {duration_s:d} s'
)
def leave_unread(context, count, size, short, duration_s):
    assert size == LONG_ANSWER_BYTES
    callers = [('/complaints/', b'short', False)] * short
    asyncio.run(_play(context, callers, 0, duration_s, unread=count))


async def _go_silent(address, wait_ms, size):
    """Begin a body; return the status and the code of the answer."""
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(
        f'POST /complaints/1 HTTP/1.1\r\nHost: {fleet_site.HOST}\r\n'
        f'Request-Id: silent-{writer.get_extra_info("sockname")[1]}\r\n'
        f'Api-Key: {fleet_site.KEY}\r\nDeadline-Ms: {wait_ms}\r\n'
        f'Content-Length: {size}\r\n\r\nbegin'.encode()
    )
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            head = await reader.readuntil(b'\r\n\r\n')
            length = int(body_endpoint.field(head, b'content-length'))
            content = json.loads(await reader.readexactly(length))
        return int(head.split()[1]), content['code']
    except asyncio.TimeoutError:
        return 0, 0
    finally:
        writer.close()


@behave.when(
    '{count:d} callers with {wait_ms:d} ms begin a body of {size:d} bytes and '
    'go silent'
)
def go_silent(context, count, wait_ms, size):
    context.silent = (count, wait_ms, size)


@behave.when('{pause_ms:d} ms later another caller sends such a body')
def another_body(context, pause_ms):
    count, wait_ms, size = context.silent
    fleet = context.fleet

    async def run():
        endpoints = await _start_endpoints(fleet, 0)
        fleet.start_entry('entry-0', 'fd-0', memory_mb=context.memory_mb)
        await asyncio.to_thread(fleet_site.wait_ready, fleet, 'entry-0')
        address = fleet.addresses['entry-0']
        silent = [
            asyncio.create_task(_go_silent(address, wait_ms, size))
            for _ in range(count)
        ]
        await asyncio.sleep(pause_ms / 1000)
        load = _Load(address, time.monotonic() + 0.01)
        await load.call('/complaints/', bytes(size), False)
        context.another = load.statuses
        context.silent_ends = await asyncio.gather(*silent)
        for endpoint in endpoints:
            await endpoint.stop()

    asyncio.run(run())


@behave.then('the other caller gets status {status:d}')
def gets_status(context, status):
    assert context.another == {('/complaints/', status): 1}, context.another


@behave.then(
    'the silent callers that had room got status {status:d} and code {code:d}'
)
def silent_ends(context, status, code):
    without_room = (503, codes.ResultCode.BODY_MEMORY_EXHAUSTED)
    ends = [each for each in context.silent_ends if each != without_room]
    assert ends and set(ends) == {(status, code)}, context.silent_ends


@behave.then('at least {count:d} short calls were served')
def short_served(context, count):
    bodies_served(context, count)


@behave.then('its private memory never exceeded {limit_mb:d} MB')
def memory_kept(context, limit_mb):
    assert context.peak_bytes <= limit_mb * MB, context.peak_bytes / MB


@behave.then('no request ended without an answer')
def all_answered(context):
    assert not context.load.without_answer, context.load.without_answer
    assert not context.load.wrong, context.load.wrong


@behave.then('at least {count:d} long bodies were served')
def bodies_served(context, count):
    served = context.load.statuses['/complaints/', 200]
    assert served >= count, context.load.statuses


@behave.when(
    '{count:d} callers with {wait_ms:d} ms state {size:d} bytes and send one '
    'each {pause_ms:d} ms'
)
def send_single_bytes(context, count, wait_ms, size, pause_ms):
    context.stalled = (count, wait_ms, size, pause_ms / 1000)


async def _stall(address, wait_ms, size, pause_s):
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(
        f'POST /complaints/1 HTTP/1.1\r\nHost: {fleet_site.HOST}\r\n'
        f'Request-Id: stalled-{writer.get_extra_info("sockname")[1]}\r\n'
        f'Api-Key: {fleet_site.KEY}\r\nDeadline-Ms: {wait_ms}\r\n'
        f'Content-Length: {size}\r\n\r\n'.encode()
    )
    try:
        while True:
            writer.write(b'x')
            await asyncio.sleep(pause_s)
    finally:
        writer.close()


@behave.when(
    '{pause_ms:d} ms later another caller sends a body of {size:d} bytes'
)
def body_beside_stalled(context, pause_ms, size):
    count, wait_ms, stated, pause_s = context.stalled
    fleet = context.fleet

    async def run():
        endpoints = await _start_endpoints(fleet, 0)
        fleet.start_entry('entry-0', 'fd-0', memory_mb=context.memory_mb)
        await asyncio.to_thread(fleet_site.wait_ready, fleet, 'entry-0')
        address = fleet.addresses['entry-0']
        stalled = [
            asyncio.create_task(_stall(address, wait_ms, stated, pause_s))
            for _ in range(count)
        ]
        await asyncio.sleep(pause_ms / 1000)
        load = _Load(address, time.monotonic() + 0.01)
        await load.call('/complaints/', bytes(size), False)
        context.another = load.statuses
        for each in stalled:
            each.cancel()
        await asyncio.gather(*stalled, return_exceptions=True)
        for endpoint in endpoints:
            await endpoint.stop()

    asyncio.run(run())
