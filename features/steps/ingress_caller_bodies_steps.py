"""Steps for bodies in small chunks and bodies that are not needed."""

from __future__ import annotations

import asyncio
import json
import time

import behave
from features.doubles import forwarding_site
from features.doubles import ingress_site
from features.doubles import scripted_endpoint
from godwitvalve.fleet import routes

CALL = forwarding_site.route(routes.RequestKind.ONCE)
TARGETS = {'an unknown route': '/nowhere', 'the service': f'{CALL.prefix}x'}
PIECES = {
    'chunks of one byte': scripted_endpoint.chunk(b'x') * 4096,
    'large chunks': scripted_endpoint.chunk(bytes(64 * 1024)),
}
CHUNKED = 'Transfer-Encoding: chunked'
MIB = 1024 * 1024
SLOW_PIECE_BYTES = 64 * 1024
WAIT_LIMIT_S = 20.0


def _head(target, framing):
    return (
        f'POST {target} HTTP/1.1\r\nHost: {ingress_site.HOST}\r\n'
        f'Request-Id: req-1\r\nApi-Key: {ingress_site.KEY}\r\n'
        f'Deadline-Ms: 9000\r\n{framing}\r\n\r\n'
    ).encode()


def _with_length(target, body):
    return _head(target, f'Content-Length: {len(body)}') + body


async def _read_answer(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    _, _, rest = head.lower().partition(b'content-length: ')
    body = await reader.readexactly(int(rest.partition(b'\r\n')[0]))
    status = int(head.split()[1])
    return ingress_site.CallerResult(status, head + body, True)


def _run(context, act):
    """Run an action on a connection to an entry with one endpoint."""

    async def run():
        script = [scripted_endpoint.answer()]
        ingress = ingress_site.IngressSite([[script]], CALL)
        async with ingress.running():
            reader, writer = await asyncio.open_connection(
                *ingress.runner.addresses[0]
            )
            # Without a buffer, a write ends when the kernel has all of it.
            writer.transport.set_write_buffer_limits(0)
            try:
                async with asyncio.timeout(WAIT_LIMIT_S):
                    await act(reader, writer)
            finally:
                writer.close()
        (context.endpoint,) = ingress.scripted

    asyncio.run(run())


@behave.when(
    'a caller sends a body of {size:d} bytes in chunks of {chunk_size:d} bytes'
)
def body_in_chunks(context, size, chunk_size):
    context.body = b'x' * size
    chunks = scripted_endpoint.chunk(b'x' * chunk_size) * (size // chunk_size)

    async def act(reader, writer):
        writer.write(_head(TARGETS['the service'], CHUNKED))
        writer.write(chunks + scripted_endpoint.STREAM_END)
        context.result = await _read_answer(reader)

    _run(context, act)


@behave.when('a caller sends a body of {size:d} bytes in chunks of one byte')
def body_in_bytes(context, size):
    body_in_chunks(context, size, 1)


@behave.when('a caller sends {size:d} MiB to {target} before it reads')
def send_first(context, size, target):
    async def act(reader, writer):
        writer.write(_with_length(TARGETS[target], bytes(size * MIB)))
        await writer.drain()
        context.result = await _read_answer(reader)

    _run(context, act)


@behave.when(
    'a caller sends {size:d} MiB at {rate:d} MiB/s to {target} before it reads'
)
def send_slowly(context, size, rate, target):
    async def act(reader, writer):
        content = _with_length(TARGETS[target], bytes(size * MIB))
        for at in range(0, len(content), SLOW_PIECE_BYTES):
            writer.write(content[at : at + SLOW_PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(SLOW_PIECE_BYTES / (rate * MIB))
        context.result = await _read_answer(reader)

    _run(context, act)


@behave.when(
    'a caller sends {size:d} bytes to an unknown route and then a call'
)
def refused_then_call(context, size):
    async def act(reader, writer):
        writer.write(_with_length(TARGETS['an unknown route'], bytes(size)))
        context.statuses = [(await _read_answer(reader)).status]
        writer.write(_with_length(TARGETS['the service'], b'body'))
        context.statuses.append((await _read_answer(reader)).status)

    _run(context, act)


@behave.then('both requests are answered on the connection')
def both_answered(context):
    assert context.statuses == [404, 200], context.statuses


@behave.when(
    'a caller sends {count:d} requests for an unknown route on one connection'
)
def many_requests(context, count):
    request = (
        f'GET /nowhere HTTP/1.1\r\nHost: {ingress_site.HOST}\r\n\r\n'
    ).encode()

    async def act(reader, writer):
        context.statuses = []
        for _ in range(count):
            writer.write(request)
            context.statuses.append((await _read_answer(reader)).status)

    context.request_count = count
    _run(context, act)


@behave.then('all of them are answered with {status:d} on the connection')
def all_answered(context, status):
    assert context.statuses == [status] * context.request_count


@behave.when('a caller sends {what} without end to {target}')
def send_endless(context, what, target):
    async def send(writer):
        while True:
            writer.write(PIECES[what])
            await writer.drain()

    async def act(reader, writer):
        writer.write(_head(TARGETS[target], CHUNKED))
        sending = asyncio.create_task(send(writer))
        context.result = await _read_answer(reader)
        answered_s = time.monotonic()
        # Fails with a reset, as the entry closes with unread bytes.
        await asyncio.wait([sending])
        assert isinstance(sending.exception(), ConnectionError)
        context.closed_after_s = time.monotonic() - answered_s

    _run(context, act)


@behave.then('its connection is closed within {limit_s:d} s')
def closed_within(context, limit_s):
    assert context.closed_after_s <= limit_s, context.closed_after_s


@behave.then('the answer has the code {code:d} and closes the connection')
def answer_has_code(context, code):
    head, _, body = context.result.content.partition(b'\r\n\r\n')
    assert json.loads(body)['code'] == code, body
    assert b'connection: close' in head.lower(), head


@behave.then('the endpoint got the whole body')
def got_body(context):
    assert context.endpoint.bodies == [context.body]
