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
    _configure(context, 5, limit_ms)
    context.fleet.start_entry('entry-0', 'fd-0')
    fleet_site.wait_ready(context.fleet, 'entry-0')


def _configure(context, version, limit_ms):
    configuration = fleet_site.configuration(version)
    configuration['limits']['idle_timeout_ms'] = limit_ms
    context.fleet.write_row('op', 'config', configuration)


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
    _use_twice(context, lambda: time.sleep(idle_s))


@behave.when(
    'the limit becomes {limit_ms:d} ms while a connection is idle, and a '
    'caller that stays idle for {idle_s:g} s uses it again'
)
def raise_limit(context, limit_ms, idle_s):
    def change():
        ends_s = time.monotonic() + idle_s
        _configure(context, 6, limit_ms)
        time.sleep(ends_s - time.monotonic())

    _use_twice(context, change)
    installed = [
        line
        for line in context.fleet.log('entry-0')
        if 'Installed a configuration' in line['message']
        and line.get('version') == 6
    ]
    assert installed


def _use_twice(context, pause):
    connection = http.client.HTTPConnection(
        context.fleet.addresses['entry-0'], timeout=5
    )
    context.cleanups.append(connection.close)
    assert _ask(connection) == 404
    used = connection.sock
    pause()
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
