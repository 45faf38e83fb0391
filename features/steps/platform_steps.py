"""Steps for the platform's HTTP adapter and stand-in."""

from __future__ import annotations

import asyncio
import http.server
import json
import threading
import time

import behave
from features.doubles import platform_standin
from godwitvalve.store import http_adapter
from godwitvalve.store import port

TIMEOUT_S = 0.3
CONDITION_LIMIT_S = 10.0


def _call(context, use):
    async def within_session():
        async with http_adapter.HttpPlatform(
            context.platform_url, TIMEOUT_S
        ) as platform:
            return await use(platform)

    return asyncio.run(within_session())


def _table_and_key(name):
    table, _, key = name.partition('/')
    return table, key


def _read(context, name):
    return _call(context, lambda item: item.read(*_table_and_key(name)))


@behave.given('a platform stand-in with its HTTP adapter')
def standin_with_adapter(context):
    context.standin = platform_standin.start(context)
    context.platform_url = context.standin.url


@behave.given('the platform fault {name} is {value}')
def set_platform_fault(context, name, value):
    context.standin.set_faults(**{name: json.loads(value)})


@behave.given('the platform stand-in has terminated')
def standin_terminated(context):
    context.standin.end()


@behave.given(
    'a platform that answers every call with status {status:d} and "{body}"'
)
def fixed_answers(context, status, body):
    class Handler(http.server.BaseHTTPRequestHandler):
        def _answer(self):
            self.send_response(status)
            self.send_header('Content-Length', str(len(body)))
            self.end_headers()
            self.wfile.write(body.encode())

        do_GET = do_PUT = _answer

        def log_message(self, *args):
            pass

    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.cleanups.append(server.server_close)
    context.cleanups.append(server.shutdown)
    context.platform_url = f'http://127.0.0.1:{server.server_port}'


@behave.when(
    'the platform row "{name}" is written as "{value}" '
    'against version {version:d}'
)
def write_platform_row(context, name, value, version):
    context.write_outcome = _call(
        context,
        lambda item: item.compare_and_set(
            *_table_and_key(name), version, value.encode()
        ),
    )


@behave.then('the platform write gave version {version:d}')
def write_gave_version(context, version):
    assert context.write_outcome == port.Written(version)


@behave.then(
    'the platform write conflicts with "{value}" at version {version:d}'
)
def write_conflicts(context, value, version):
    current = context.write_outcome.current
    assert (current.value, current.version) == (value.encode(), version)


@behave.then('the platform write is unknown')
def write_unknown(context):
    outcome = context.write_outcome
    assert isinstance(outcome, port.WriteUnknown), outcome


@behave.then('the platform write is refused')
def write_refused(context):
    outcome = context.write_outcome
    assert isinstance(outcome, port.WriteRefused), outcome


@behave.then('the platform has executed {writes:d} writes')
def executed_writes(context, writes):
    assert context.standin.counts()['writes'] == writes


@behave.then(
    'the platform row "{name}" holds "{value}" at version {version:d}'
)
def row_holds(context, name, value, version):
    row = _read(context, name)
    assert (row.value, row.version) == (value.encode(), version)


@behave.then('the platform row "{name}" soon holds "{value}"')
def row_soon_holds(context, name, value):
    context.standin.set_faults(slow_ms=0)
    deadline_s = time.monotonic() + CONDITION_LIMIT_S
    row = None
    while row is None and time.monotonic() < deadline_s:
        row = _read(context, name)
    assert row.value == value.encode()


@behave.then('a platform read is unavailable')
def read_unavailable(context):
    try:
        _read(context, 'config/head')
    except port.PlatformUnavailable:
        return
    raise AssertionError('the read was answered')


@behave.then('a platform scan of "{table}" for "{prefix}" gives "{keys}"')
def scan_gives(context, table, prefix, keys):
    rows = _call(context, lambda item: item.scan(table, prefix))
    assert [row.key for row in rows] == keys.split(', ')


@behave.when('the platform object "{key}" is put as "{body}"')
def put_platform_object(context, key, body):
    _call(context, lambda item: item.put(key, body.encode()))


@behave.then('the platform object "{key}" is "{body}"')
def platform_object_is(context, key, body):
    assert _call(context, lambda item: item.get(key)) == body.encode()


@behave.then('the platform object "{key}" is missing')
def platform_object_missing(context, key):
    assert _call(context, lambda item: item.get(key)) is None


@behave.given('the platform stores the weights "{name}"')
def platform_stores_weights(context, name):
    context.standin.put_weights(name)


@behave.then('the platform has the weights "{name}" but not "{other}"')
def platform_has_weights(context, name, other):
    assert _call(context, lambda item: item.has(name))
    assert not _call(context, lambda item: item.has(other))


@behave.given('the platform lists the instance "{instance_id}"')
def platform_lists(context, instance_id):
    context.standin.put_instance(instance_id)


@behave.then('the platform list shows "{ids}"')
@behave.then('the platform list shows ""')
def platform_list_shows(context, ids=''):
    shown = _call(context, lambda item: item.instances())
    assert ', '.join(item.instance_id for item in shown) == ids
