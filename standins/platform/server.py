"""HTTP interface of the platform stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
from typing import Any

from aiohttp import web
import orjson

from standins.platform import state

MAX_BODY_BYTES = 32 * 1024 * 1024
_STATE = web.AppKey('state', state.State)
# Test scripts use these paths; faults do not apply to them.
_CONTROL = ('/faults', '/counts')

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _json(raw: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=orjson.dumps(raw), status=status, content_type='application/json'
    )


def _is_control(request: web.Request) -> bool:
    is_list_edit = request.path.startswith('/instances/')
    return is_list_edit or request.path in _CONTROL


def _is_store_down(platform_state: state.State, request: web.Request) -> bool:
    return platform_state.faults.store_down and request.path != '/instances'


@web.middleware
async def _apply_faults(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    platform_state = request.app[_STATE]
    if _is_control(request):
        return await handler(request)
    # The body is read first so that a slow write is applied even if the
    # client disconnects meanwhile.
    await request.read()
    if platform_state.faults.slow_ms:
        await asyncio.sleep(platform_state.faults.slow_ms / 1000)
    if platform_state.faults.down or _is_store_down(platform_state, request):
        return _json({'applied': False}, 503)
    if request.method == 'GET':
        platform_state.reads += 1
        return await handler(request)
    platform_state.writes += 1
    answer = await handler(request)
    if (
        platform_state.faults.lose_write_answers
        and request.transport is not None
    ):
        request.transport.close()
    return answer


async def _read_row(request: web.Request) -> web.Response:
    table = request.app[_STATE].tables[request.match_info['table']]
    row = table.row(request.match_info['key'])
    return _json({}, 404) if row is None else _json(row)


async def _scan(request: web.Request) -> web.Response:
    table = request.app[_STATE].tables[request.match_info['table']]
    prefix = request.query.get('prefix', '')
    keys = sorted(key for key in table.rows if key.startswith(prefix))
    return _json([table.row(key) for key in keys])


async def _write_row(request: web.Request) -> web.Response:
    table = request.app[_STATE].tables[request.match_info['table']]
    key = request.match_info['key']
    expected = int(request.headers['If-Match'])
    value = orjson.loads(await request.read())['value']
    version = table.compare_and_set(key, expected, value)
    if not version:
        return _json({'current': table.row(key)}, 409)
    return _json({'version': version})


async def _get_object(request: web.Request) -> web.Response:
    body = request.app[_STATE].objects.get(request.match_info['key'])
    if body is None:
        return _json({}, 404)
    return web.Response(body=body)


async def _put_object(request: web.Request) -> web.Response:
    key = request.match_info['key']
    request.app[_STATE].objects[key] = await request.read()
    return _json({})


async def _get_weights(request: web.Request) -> web.Response:
    stored = request.match_info['name'] in request.app[_STATE].weights
    return _json({}, 200 if stored else 404)


async def _put_weights(request: web.Request) -> web.Response:
    request.app[_STATE].weights.add(request.match_info['name'])
    return _json({})


async def _list_instances(request: web.Request) -> web.Response:
    platform_state = request.app[_STATE]
    return _json(
        platform_state.instances.delayed(
            platform_state.faults.list_lag_ms / 1000
        )
    )


async def _put_instance(request: web.Request) -> web.Response:
    instance = orjson.loads(await request.read())
    platform_state = request.app[_STATE]
    platform_state.instances.put(request.match_info['id'], instance)
    return _json({})


async def _remove_instance(request: web.Request) -> web.Response:
    request.app[_STATE].instances.remove(request.match_info['id'])
    return _json({})


async def _set_faults(request: web.Request) -> web.Response:
    platform_state = request.app[_STATE]
    changes = orjson.loads(await request.read())
    try:
        platform_state.faults = dataclasses.replace(
            platform_state.faults, **changes
        )
    except TypeError as error:
        return _json({'error': str(error)}, 400)
    return _json(dataclasses.asdict(platform_state.faults))


async def _counts(request: web.Request) -> web.Response:
    platform_state = request.app[_STATE]
    return _json(
        {'reads': platform_state.reads, 'writes': platform_state.writes}
    )


def build_app() -> web.Application:
    """Return the application with empty state."""
    app = web.Application(
        middlewares=[_apply_faults], client_max_size=MAX_BODY_BYTES
    )
    app[_STATE] = state.State()
    app.add_routes(
        [
            web.get('/tables/{table}/{key}', _read_row),
            web.put('/tables/{table}/{key}', _write_row),
            web.get('/tables/{table}', _scan),
            web.get('/objects/{key}', _get_object),
            web.put('/objects/{key}', _put_object),
            web.get('/weights/{name}', _get_weights),
            web.put('/weights/{name}', _put_weights),
            web.get('/instances', _list_instances),
            web.put('/instances/{id}', _put_instance),
            web.delete('/instances/{id}', _remove_instance),
            web.post('/faults', _set_faults),
            web.get('/counts', _counts),
        ]
    )
    return app
