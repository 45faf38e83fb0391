"""Steps for requests that a planned stop interrupts."""

from __future__ import annotations

import asyncio
import json
import logging
import re
import time

from aioprometheus import renderer
import behave
from features.doubles import aio
from features.doubles import forwarding_site
from features.doubles import log_records
from features.doubles import scripted_endpoint
from godwitvalve.fleet import routes
from godwitvalve.forwarding import in_flight
from godwitvalve.ingress import handler as handlers
from godwitvalve.ingress import servers
from godwitvalve.lifecycle import drain
from godwitvalve.lifecycle import lifecycle
from standins import local_site

REQUEST_ID = 'stopped-1'
STOP_LIMIT_S = 8.0
READ_LIMIT_S = 2.0
DECLINES = 20
BEGIN_PAUSE_S = 0.3
SCRIPTS = {
    'hang': [['hang']],
    'declined': [[scripted_endpoint.DECLINED]] * DECLINES,
    'begins': [
        [
            scripted_endpoint.STREAM_HEAD,
            scripted_endpoint.event(1),
            scripted_endpoint.event(2),
            'hang',
        ]
    ],
    'begins late': [
        [
            BEGIN_PAUSE_S,
            scripted_endpoint.STREAM_HEAD,
            scripted_endpoint.event(1),
            scripted_endpoint.STREAM_END,
        ]
    ],
}
LOGGER = logging.getLogger('godwitvalve.ingress')


def _configuration():
    kinds = {each.value: each for each in routes.RequestKind}
    return routes.Configuration(
        2,
        [
            forwarding_site.route(
                kind,
                name=name,
                prefix=f'/{name}/',
                limit_ms=20000.0,
                objective_ms=5000.0,
            )
            for name, kind in kinds.items()
        ],
        [routes.ServiceConfig(forwarding_site.SERVICE, '/healthz', None)],
        {},
        routes.CallerLimits(1 << 20),
        b'',
    )


@behave.given('an entry whose endpoint "{behaviour}"')
def entry_with_endpoint(context, behaviour):
    context.lines = log_records.LogRecords(logging.WARNING)
    LOGGER.addHandler(context.lines)
    context.cleanups.append(lambda: LOGGER.removeHandler(context.lines))

    async def start():
        context.endpoint = scripted_endpoint.ScriptedEndpoint(
            *SCRIPTS[behaviour]
        )
        await context.endpoint.start()
        site = forwarding_site.ForwardingSite([context.endpoint])
        site.state.install(_configuration())
        context.site = site
        stages = lifecycle.Lifecycle()
        stages.begin_serving()
        context.handler = handlers.IngressHandler(site.context, stages)
        context.address = '127.0.0.1', local_site.free_port()
        context.runner_of_entry = await servers.listen(
            '{}:{}'.format(*context.address), context.handler.handle
        )

    async def stop():
        context.writer.close()
        await context.runner_of_entry.cleanup()
        await context.endpoint.stop()

    aio.run(context, start())
    context.cleanups.append(lambda: aio.run(context, stop()))


def _request(kind, sent_body):
    return (
        f'POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\n'
        f'Request-Id: {REQUEST_ID}\r\nContent-Length: 5\r\n\r\n{sent_body}'
    ).encode()


def _is_waiting(context, wait):
    """Tell whether the only request waits as it should."""
    return any(
        each.waits_for is wait for each in context.handler.pending
    ) and (wait is in_flight.Wait.BODY or bool(context.endpoint.heads))


@behave.when(
    'a "{kind}" request waits for "{wait}" as the time to answer comes'
)
def request_waits(context, kind, wait):
    expected = in_flight.Wait(wait)

    async def play():
        context.reader, context.writer = await asyncio.open_connection(
            *context.address
        )
        is_slow = expected is in_flight.Wait.BODY
        context.unsent = b'se' if is_slow else b''
        context.writer.write(_request(kind, 'noi' if is_slow else 'noise'))
        await aio.until(lambda: _is_waiting(context, expected))
        context.stop = drain.schedule(time.monotonic(), STOP_LIMIT_S)
        context.handler.begin_drain(context.stop)
        context.handler.interrupt_due(context.stop.answer_by_s - 0.01)
        assert not context.lines.records
        context.handler.interrupt_due(context.stop.answer_by_s)

    aio.run(context, play())


@behave.when('a "{kind}" request waits for "{wait}" as a stop begins')
def stop_begins(context, kind, wait):
    expected = in_flight.Wait(wait)

    async def play():
        context.reader, context.writer = await asyncio.open_connection(
            *context.address
        )
        context.writer.write(_request(kind, 'noise'))
        await aio.until(lambda: _is_waiting(context, expected))
        stop = drain.schedule(time.monotonic(), STOP_LIMIT_S)
        context.handler.begin_drain(stop)

    aio.run(context, play())


@behave.then('its caller gets a whole stream and a closed connection')
def whole_stream(context):
    content, is_reset = aio.run(context, _read(context))
    head, _, body = content.partition(b'\r\n\r\n')
    assert not is_reset
    assert b'connection: close' in head.lower(), head
    assert body.count(b'id: ') == 1 and body.endswith(b'\r\n0\r\n\r\n'), body


@behave.when('the time to cut comes')
def time_to_cut(context):
    async def play():
        context.handler.interrupt_due(context.stop.cut_by_s)

    aio.run(context, play())


async def _read(context):
    """Return what the caller gets, and whether its connection was reset."""
    content = b''
    try:
        async with asyncio.timeout(READ_LIMIT_S):
            while data := await context.reader.read(65536):
                content += data
    except ConnectionResetError:
        return content, True
    return content, False


async def _read_answer(context):
    """Return head and body, once the connection is closed in order."""
    async with asyncio.timeout(READ_LIMIT_S):
        head = await context.reader.readuntil(b'\r\n\r\n')
        length = re.search(rb'content-length: *([0-9]+)', head.lower())
        body = await context.reader.readexactly(int(length[1]))
        # The caller sends the rest of its body before it reads on.
        context.writer.write(context.unsent)
        assert not await context.reader.read()
    return head, body


@behave.then(
    'its caller gets a complete answer {status:d} and a closed connection'
)
def complete_answer(context, status):
    head, body = aio.run(context, _read_answer(context))
    assert head.startswith(b'HTTP/1.1 %d ' % status), head
    assert b'connection: close' in head.lower(), head
    problem = json.loads(body)
    assert problem['not_run'] == (status == 503), problem
    if status == 503:
        assert problem['title'] == 'draining', problem


@behave.then('the endpoint gets no request after that')
def not_sent_later(context):
    sent = len(context.endpoint.heads)

    async def wait():
        await asyncio.sleep(0.3)

    aio.run(context, wait())
    assert len(context.endpoint.heads) == sent


@behave.then('its caller still waits')
def still_waits(context):
    async def read():
        async with asyncio.timeout(0.3):
            return await context.reader.readuntil(b'never')

    try:
        aio.run(context, read())
    except asyncio.TimeoutError:
        return
    raise AssertionError('the answer ended')


@behave.then('its caller sees a reset connection after half of the stream')
def reset_midway(context):
    content, is_reset = aio.run(context, _read(context))
    assert is_reset
    assert content.count(b'id: ') == 2, content
    assert b'\r\n0\r\n\r\n' not in content


@behave.then('a log line and a counter tell that it waited for "{wait}"')
def logged_and_counted(context, wait):
    # A cut answer has a line of its own besides.
    (record,) = [
        each for each in context.lines.records if hasattr(each, 'waits_for')
    ]
    assert record.request_id == REQUEST_ID
    assert record.waits_for == wait, record.waits_for
    content, _ = renderer.render(context.site.context.counters.registry, [])
    counted = [
        line
        for line in content.decode().splitlines()
        if line.startswith('godwitvalve_stop_interruptions_total')
    ]
    assert len(counted) == 1, counted
    assert f'waits_for="{wait}"' in counted[0], counted
    assert counted[0].endswith(' 1'), counted
