"""Steps for connections that callers keep open."""

from __future__ import annotations

import http.client
import pathlib
import tempfile
import time

import behave
from features.doubles import short_keepalive
from standins.fleet import site as fleet_site


@behave.given(
    'an entry that closes idle connections after {own_s:g} s by itself'
)
def short_entry(context, own_s):
    assert own_s == short_keepalive.KEEPALIVE_TIMEOUT_S
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.fleet = fleet_site.FleetSite(
        pathlib.Path(folder.name), ('features.doubles.short_keepalive',)
    )
    context.cleanups.append(context.fleet.stop)


@behave.given(
    'a configuration that lets callers stay idle for {limit_ms:d} ms'
)
def idle_limit(context, limit_ms):
    configuration = fleet_site.configuration(5)
    configuration['limits']['idle_timeout_ms'] = limit_ms
    context.fleet.write_row('op', 'config', configuration)
    context.fleet.start_entry('entry-0', 'fd-0')
    fleet_site.wait_ready(context.fleet, 'entry-0')


def _ask(connection):
    """Return the status of an answer, or the name of the error."""
    try:
        connection.request('GET', '/none', headers={'Host': fleet_site.HOST})
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__


@behave.when(
    'a caller uses a connection, stays idle for {idle_s:g} s and uses it again'
)
def use_twice(context, idle_s):
    connection = http.client.HTTPConnection(
        context.fleet.addresses['entry-0'], timeout=5
    )
    context.cleanups.append(connection.close)
    assert _ask(connection) == 404
    used = connection.sock
    time.sleep(idle_s)
    context.second = _ask(connection)
    context.is_same = connection.sock is used


@behave.then('the second request is answered on the same connection')
def answered_on_same(context):
    assert (context.second, context.is_same) == (404, True), context.second


@behave.then('the connection was closed before')
def closed_before(context):
    assert context.second in (
        'BrokenPipeError',
        'ConnectionResetError',
        'RemoteDisconnected',
    ), context.second
