"""Steps for settings that change while an entry runs."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import tempfile
import threading
import time
import urllib.request

import behave
from standins.fleet import site as fleet_site
from standins import local_site

NAME = 'entry-0'
# Changes of the platform apply within this time.
APPLY_LIMIT_S = 2.0
# A template has 64 KiB at most.
TOO_LONG_BYTES = 64 * 1024 * 1024


def _path(context):
    return context.fleet.folder / f'{NAME}.json'


def _change(context, **changes):
    """Write the settings file again with other values, in one step."""
    settings = json.loads(context.first_settings) | changes
    path = _path(context)
    new_path = path.with_suffix('.new')
    new_path.write_text(json.dumps(settings))
    new_path.replace(path)


def _keep_first(context):
    context.first_settings = _path(context).read_text()


def _change_limit(context, limit_s, is_kill_changed=True):
    if is_kill_changed:
        context.stop_limit_s = limit_s
    _change(context, stop_limit_s=limit_s)


@behave.given('the stop limit becomes {limit_s:g} s with SIGHUP')
def limit_with_signal(context, limit_s):
    _keep_first(context)
    _change_limit(context, limit_s)
    context.fleet.signal(NAME, signal.SIGHUP)


@behave.given(
    'the stop limit becomes {limit_s:g} s 2 s before the stop without a signal'
)
def limit_without_signal(context, limit_s):
    _keep_first(context)
    _change_limit(context, limit_s)
    time.sleep(APPLY_LIMIT_S)


@behave.given(
    'the stop limit becomes {limit_s:g} s right before the stop without a '
    'signal'
)
def limit_before_stop(context, limit_s):
    _keep_first(context)
    context.before_stop.append(lambda: _change_limit(context, limit_s))


@behave.given(
    'the stop limit becomes {limit_s:g} s in place of a half-written file'
)
def limit_after_half(context, limit_s):
    _keep_first(context)
    _path(context).write_text(context.first_settings[:-20])
    context.fleet.signal(NAME, signal.SIGHUP)
    time.sleep(APPLY_LIMIT_S / 2)
    _change_limit(context, limit_s)
    time.sleep(APPLY_LIMIT_S)


@behave.given(
    'the stop limit becomes {limit_s:g} s {after_s:g} s after the stop signal'
)
def limit_during_stop(context, limit_s, after_s):
    _change_later(context, limit_s, after_s)
    context.before_stop.append(
        lambda: setattr(context, 'stop_limit_s', limit_s)
    )


@behave.given(
    'only the settings file gets a stop limit of {limit_s:g} s {after_s:g} s '
    'after the stop signal'
)
def file_during_stop(context, limit_s, after_s):
    _change_later(context, limit_s, after_s)


def _change_later(context, limit_s, after_s):
    _keep_first(context)

    def change():
        _change_limit(context, limit_s, is_kill_changed=False)
        context.fleet.signal(NAME, signal.SIGHUP)

    timer = threading.Timer(after_s, change)
    context.before_stop.append(timer.start)
    context.cleanups.append(timer.cancel)


@behave.given(
    'the settings file becomes "{content}" 2 s before the stop, with SIGHUP '
    'twice'
)
def odd_file(context, content):
    _keep_first(context)
    path = _path(context)
    match content:
        case 'half-written':
            path.write_text(context.first_settings[:-20])
        case 'missing':
            path.unlink()
        case 'a negative limit':
            _change(context, stop_limit_s=-1)
        case 'a pipe':
            path.unlink()
            os.mkfifo(path)
        case 'too long':
            _change(context, stop_limit_s=2, more='x' * TOO_LONG_BYTES)
        case _:
            raise ValueError(content)
    for _ in range(2):
        context.fleet.signal(NAME, signal.SIGHUP)
        time.sleep(APPLY_LIMIT_S / 2)


@behave.then('each request got its complete answer')
def all_complete(context):
    cut = [each for each in context.results if each.status != 200]
    assert not cut, '\n'.join(map(str, cut))


@behave.then('the entry logged one error of its settings file')
def one_error(context):
    errors = [
        line
        for line in context.fleet.log(NAME)
        if line['message'].endswith('keeping the current ones.')
    ]
    assert len(errors) == 1, errors


@behave.when(
    'the settings file gets another address for callers and a stop limit of '
    '{limit_s:g} s'
)
def address_changes(context, limit_s):
    _keep_first(context)
    address = context.fleet.addresses[NAME]
    host, _, port = address.rpartition(':')
    _change(
        context,
        stop_limit_s=limit_s,
        caller_address=f'{host}:{int(port) + 1}',
    )


@behave.then('the entry logs that "{changed}" changed and "{waiting}" waits')
def change_logged(context, changed, waiting):
    def found():
        return [
            (line['changed'], line['waits_for_restart'])
            for line in context.fleet.log(NAME)
            if 'Settings were read again' in line['message']
        ]

    local_site.wait_until(found, 'a log line', APPLY_LIMIT_S)
    time.sleep(APPLY_LIMIT_S)
    assert found() == [([changed], [waiting])], found()


@behave.then('the entry is still named at its first address for callers')
def first_address(context):
    url = (
        f'http://{context.fleet.port_address(NAME, 2)}/resolve'
        f'?name={fleet_site.HOST}'
    )
    answer = local_site.http_json('GET', url)
    assert answer['addresses'] == [context.fleet.addresses[NAME]], answer


@behave.given(
    'an entry whose store is at another address than its settings say'
)
def entry_without_store(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    fleet = fleet_site.FleetSite(pathlib.Path(folder.name))
    context.fleet = fleet
    context.cleanups.append(fleet.stop)
    fleet.write_row('op', 'config', fleet_site.configuration(5))
    fleet.start_replica('p0', 'desk', 'fd-0')
    # Nothing listens there.
    address = f'127.0.0.1:{local_site.free_port()}'
    fleet.start_entry(NAME, 'fd-0', store_address=address)
    local_site.wait_until(
        lambda: any(
            'Could not access' in each['message'] for each in fleet.log(NAME)
        ),
        'the entry calls the store',
    )
    _keep_first(context)


@behave.when('the settings file gets the address of the store')
def store_address(context):
    _change(context, store_address=context.fleet.store)


@behave.then('the entry becomes ready within {limit_s:g} s and serves a call')
def ready_and_serves(context, limit_s):
    url = f'http://{context.fleet.port_address(NAME, 1)}/readyz'
    local_site.wait_until(
        lambda: local_site.http_json('GET', url) is None, 'ready', limit_s
    )
    time.sleep(0.5)
    request = urllib.request.Request(
        f'http://{context.fleet.addresses[NAME]}{fleet_site.CALL_PREFIX}x',
        data=b'noise',
        headers={
            'Host': fleet_site.HOST,
            'Request-Id': 'moved',
            'Api-Key': fleet_site.KEY,
            'Deadline-Ms': '5000',
        },
    )
    with urllib.request.urlopen(request, timeout=5) as answer:
        assert answer.status == 200
