"""Steps for bodies of requests at the own interface."""

from __future__ import annotations

import asyncio
import gzip
import zlib

from aiohttp import web
import behave
from features.doubles import raw_caller
from godwitvalve.entry import app as entry_app
from godwitvalve.entry import request_checks
from godwitvalve.generations import requests
from godwitvalve.outcomes import codes
from godwitvalve.outcomes import outcome

READ_LIMIT_S = 5.0
TEXT = b'noise ' * 20
CONTENTS = {
    'gzip data': gzip.compress(TEXT),
    'no gzip data': TEXT,
    'deflate data': zlib.compress(TEXT),
    'one byte too many': bytes(requests.MAX_BODY_BYTES + 1),
}


async def _read_at_entry(body, encoding):
    """Return what a handler read of a body that a caller sent."""
    read = []

    async def handle(request):
        read.append(await request_checks.read_body(request))
        return web.Response(headers={'Connection': 'close'})

    application = web.Application(client_max_size=requests.MAX_BODY_BYTES)
    application.router.add_post('/', handle)
    content = (
        b'POST / HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n'
        b'Content-Encoding: %s\r\nContent-Length: %d\r\n\r\n%s'
        % (encoding.encode(), len(body), body)
    )
    await raw_caller.ask(entry_app.runner(application), content, READ_LIMIT_S)
    return read


@behave.when('a caller sends {content} with the encoding "{encoding}"')
def send_encoded(context, content, encoding):
    context.body = CONTENTS[content]
    context.read = asyncio.run(_read_at_entry(context.body, encoding))


@behave.then('a request handler reads the same bytes')
def reads_same(context):
    assert context.read == [context.body], context.read


@behave.then('a request handler refuses the body as too large')
def refuses_body(context):
    expected = outcome.NotRun(codes.ResultCode.BODY_TOO_LARGE)
    assert context.read == [expected], context.read
