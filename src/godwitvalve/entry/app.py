"""HTTP application of an entry instance: routes and error handling."""

from __future__ import annotations

from collections.abc import Awaitable, Callable


from aiohttp import typedefs
from aiohttp import web
from aioprometheus import renderer

from godwitvalve.entry import answers
from godwitvalve.entry import completions
from godwitvalve.entry import context as contexts
from godwitvalve.entry import information
from godwitvalve.entry import plain_calls
from godwitvalve.generations import requests
from godwitvalve.logs import setup as logs
from godwitvalve.outcomes import codes

# Limit of one header and of the request line.
MAX_LINE_BYTES = 16 * 1024
# Bounds the shutdown of the server, so that an unresponsive caller does not
# delay it for ever.
SHUTDOWN_LIMIT_S = 2.0

_LOG = logs.get('entry')
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def build(context: contexts.EntryContext) -> web.Application:
    """Return the application with all routes."""
    app = web.Application(
        client_max_size=requests.MAX_BODY_BYTES,
        middlewares=[_problems(context)],
    )
    info = information.InformationHandler(context)
    generations = completions.CompletionHandler(context)
    plain = plain_calls.PlainCallHandler(context)
    app.router.add_post('/v1/completions', generations.handle)
    app.router.add_route(
        '*', plain_calls.PREFIX + '{service}{path:(/.*)?}', plain.handle
    )
    app.router.add_post('/v1/keys', info.issue_key)
    app.router.add_get('/v1/addresses', info.addresses)
    app.router.add_get('/v1/status', info.status)
    app.router.add_get('/healthz', info.healthz)
    app.router.add_get('/readyz', info.readyz)
    app.router.add_get('/metrics', _metrics(context))
    return app


def runner(application: web.Application) -> web.AppRunner:
    """Return the server of an application, which is not set up yet."""
    return web.AppRunner(
        application,
        access_log=None,
        # Bodies are forwarded as they were sent, with their encoding.
        auto_decompress=False,
        handler_cancellation=True,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        shutdown_timeout=SHUTDOWN_LIMIT_S,
    )


def _metrics(context: contexts.EntryContext) -> _Handler:
    async def handle(request: web.Request) -> web.StreamResponse:
        accept = request.headers.getall('Accept', ['text/plain'])
        content, headers = renderer.render(context.counters.registry, accept)
        return web.Response(body=content, headers=headers)

    return handle


def _problems(context: contexts.EntryContext) -> typedefs.Middleware:
    @web.middleware
    async def middleware(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPNotFound:
            code = codes.ResultCode.UNKNOWN_ROUTE
            return answers.code_answer(context, code)
        except web.HTTPException as error:
            code = codes.ResultCode.BAD_REQUEST
            return answers.code_answer(context, code, error.reason or '')
        except ConnectionError:
            # The caller disconnected, so no answer can be sent.
            raise
        except Exception:
            _LOG.exception('Request handler failed.')
            if request.writer.output_size > 0:
                # The server closes the connection, which cuts the answer.
                raise
            code = codes.ResultCode.OUTCOME_UNKNOWN
            return answers.code_answer(context, code, 'internal error')

    return middleware
