"""Steps for errors of the entry itself at the own interface."""

from __future__ import annotations

import asyncio
from unittest import mock

from aiohttp import web
import behave
from features.doubles import raw_caller
from godwitvalve.entry import app as entry_app

READ_LIMIT_S = 2.0


async def _fail_in_answer(request):
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(b'first part')
    raise LookupError('injected')


async def _read_answer():
    application = web.Application(
        middlewares=[entry_app._problems(mock.MagicMock())]
    )
    application.router.add_get('/', _fail_in_answer)
    content = b'GET / HTTP/1.1\r\nHost: h.example\r\n\r\n'
    runner = web.AppRunner(application)
    return await raw_caller.ask(runner, content, READ_LIMIT_S)


@behave.when('a request handler fails after the first part of its answer')
def handler_fails(context):
    context.raw_answer = asyncio.run(_read_answer())


@behave.then('its caller got one head and no end of the answer')
def one_head(context):
    assert context.raw_answer.count(b'HTTP/1.1') == 1, context.raw_answer
    assert b'first part' in context.raw_answer
    assert not context.raw_answer.endswith(b'0\r\n\r\n')
