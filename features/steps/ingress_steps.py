"""Steps for entry instances on the users' platform."""

from __future__ import annotations

import base64
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

import behave
from godwitvalve.platform import settings
from standins.fleet import site as fleet_site
from standins import local_site

EVENTS = 50
# Endpoints that serve complaints: p0 runs the old version, the others the new.
COMPLAINT_ENDPOINTS = ('p0', 'n0', 'n1')
SOURCES = pathlib.Path(__file__).resolve().parents[2] / 'src/godwitvalve'


def _fleet(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.fleet = fleet_site.FleetSite(pathlib.Path(folder.name))
    context.cleanups.append(context.fleet.stop)
    return context.fleet


@behave.given(
    'a fleet with {entries:d} entries, {models:d} model endpoints '
    'and {plain:d} plain endpoint'
)
def fleet_with(context, entries, models, plain):
    fleet = _fleet(context)
    fleet.write_row('op', 'config', fleet_site.configuration(5))
    for number in range(models):
        fleet.start_replica(f'm{number}', 'model', f'fd-{number}')
    for number in range(plain):
        fleet.start_replica(f'p{number}', 'desk', f'fd-{number}')
    context.entries = [f'entry-{number}' for number in range(entries)]
    for number, name in enumerate(context.entries):
        fleet.start_entry(name, f'fd-{number}')
    for name in context.entries:
        fleet_site.wait_ready(fleet, name)


@behave.given('a fleet without a configuration and {entries:d} entries')
def fleet_without_configuration(context, entries):
    fleet = _fleet(context)
    context.entries = [f'entry-{number}' for number in range(entries)]
    for name in context.entries:
        fleet.start_entry(name, 'fd-0')


class _SummaryCaller(threading.Thread):
    """A caller that reads a stream."""

    def __init__(self, address, request_id):
        super().__init__(daemon=True)
        self.content = b''
        self.is_complete = False
        self._address = address
        self._request_id = request_id
        self.connection = None

    def run(self):
        self.connection = http.client.HTTPConnection(self._address, timeout=10)
        self.connection.request(
            'POST',
            fleet_site.STREAM_PREFIX + 'x',
            b'month',
            {
                'Host': fleet_site.HOST,
                'Request-Id': self._request_id,
                'Api-Key': fleet_site.KEY,
                'Deadline-Ms': '9000',
                'Token-Usage': '10,50',
                'Prompt-Prefix': f'aa:5,{self._request_id}:5',
            },
        )
        with contextlib.suppress(OSError, http.client.HTTPException):
            answer = self.connection.getresponse()
            while chunk := answer.read1(1000):
                self.content += chunk
            self.is_complete = True

    def wait_for(self, events):
        local_site.wait_until(
            lambda: self.content.count(b'id: ') >= events, 'events', 5.0
        )


def _start_summary(context, entry='entry-0'):
    context.summary = _SummaryCaller(context.fleet.addresses[entry], 's-1')
    context.summary.start()
    return context.summary


@behave.when('a caller asks for a summary')
def asks_summary(context):
    _start_summary(context)


@behave.then('the summary is complete')
def summary_complete(context):
    context.summary.join(10)
    expected = b''.join(
        b'id: %d\ndata: token\n\n' % number for number in range(1, EVENTS + 1)
    )
    assert context.summary.is_complete
    assert context.summary.content == expected, context.summary.content


@behave.when('the endpoint of a summary is killed in the middle')
def kill_endpoint(context):
    _start_summary(context).wait_for(10)
    running = next(name for name in ('m0', 'm1') if context.fleet.runs(name))
    context.fleet.signal(running, signal.SIGKILL)


@behave.when('an entry is asked to stop in the middle of a summary')
def stop_entry(context):
    _start_summary(context).wait_for(5)
    context.stopped_s = time.monotonic()
    context.fleet.signal('entry-0', signal.SIGTERM)
    time.sleep(0.4)
    context.ready_status = _status(
        f'http://{context.fleet.port_address("entry-0", 1)}/readyz'
    )
    context.listed_addresses = _listed_addresses(context, 'entry-1')


def _status(url):
    try:
        with urllib.request.urlopen(url, timeout=2) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code


def _listed_addresses(context, entry):
    url = f'http://{context.fleet.port_address(entry, 2)}/resolve?name=x'
    return local_site.http_json('GET', url)['addresses']


@behave.then('the entry was not ready and not listed meanwhile')
def not_listed(context):
    assert context.ready_status == 503
    assert context.listed_addresses == [context.fleet.addresses['entry-1']]


@behave.then('the entry ended with code 0 within {limit_s:d} s')
def entry_ended(context, limit_s):
    remaining_s = context.stopped_s + limit_s - time.monotonic()
    assert context.fleet.wait('entry-0', remaining_s) == 0


@behave.when('an entry is killed')
def kill_entry(context):
    local_site.wait_until(
        lambda: len(_listed_addresses(context, 'entry-1')) == 2,
        'both are listed',
    )
    context.fleet.signal('entry-0', signal.SIGKILL)


@behave.then('the other entry lists only itself within {limit_s:d} s')
def lists_itself(context, limit_s):
    own = [context.fleet.addresses['entry-1']]
    local_site.wait_until(
        lambda: _listed_addresses(context, 'entry-1') == own, 'listed', limit_s
    )


@behave.when('a caller disconnects in the middle of a summary')
def caller_disconnects(context):
    summary = _start_summary(context)
    summary.wait_for(5)
    summary.connection.sock.close()
    summary.connection.close()


@behave.then('the entry has no request in flight within {limit_ms:d} ms')
def nothing_in_flight(context, limit_ms):
    def is_disconnected():
        return any(
            line.get('outcome') == 'left by its caller'
            for line in context.fleet.log('entry-0')
        )

    local_site.wait_until(is_disconnected, 'disconnected', limit_ms / 1000)


def _send_complaint(context, entry='entry-0', path='x', request_id='c-1'):
    url = (
        f'http://{context.fleet.addresses[entry]}'
        f'{fleet_site.CALL_PREFIX}{path}'
    )
    request = urllib.request.Request(url, b'noise', method='POST')
    for name, value in (
        ('Host', fleet_site.HOST),
        ('Request-Id', request_id),
        ('Api-Key', fleet_site.KEY),
        ('Deadline-Ms', '4000'),
    ):
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


@behave.when('a caller sends a complaint')
def sends_complaint(context):
    context.answer = _send_complaint(context)


@behave.then("the complaint ran once and its answer is the endpoint's own")
def complaint_ran(context):
    status, headers, body = context.answer
    assert (status, body) == (200, b'done noise'), context.answer
    assert headers['Response-Signature'] == 'signed-p0'
    assert context.fleet.runs('p0') == [['c-1', 'acme', '', 'noise']]


@behave.then('a complaint gets status {status:d} with a time to retry')
def complaint_refused(context, status):
    def is_answered():
        context.answer = _send_complaint(context)
        return True

    local_site.wait_until(is_answered, 'the entry listens')
    assert context.answer[0] == status, context.answer
    assert float(context.answer[1]['Retry-After']) > 0


@behave.when('the operator removes the key and adds a route')
def change_configuration(context):
    changed = fleet_site.configuration(9)
    changed['tenants'] = [{'name': 'acme', 'api_keys': ['another']}]
    changed['routes'].append(
        {
            **fleet_site.route('r-n', '/new/', 'non_idempotent', 'desk'),
            'public': True,
        }
    )
    context.fleet.write_row('op', 'config', changed)
    context.changed_s = time.monotonic()


@behave.when('the operator removes the key and an older version is written')
def write_older_version(context):
    change_configuration(context)
    refuse_key(context, 2)
    context.fleet.write_row('op', 'config', fleet_site.configuration(7))


@behave.when('the store discards its change history and the key is removed')
def discard_history(context):
    context.fleet.post('store', '/standin/faults', {'forget': True})
    change_configuration(context)


@behave.when('the feeds of the store report nothing and the key is removed')
def deaf_feeds(context):
    context.fleet.post('store', '/standin/faults', {'mode': 'deaf'})
    # All feeds end their wait once and begin another one.
    time.sleep(9)
    change_configuration(context)
    context.fleet.post(
        'store', '/standin/faults', {'mode': 'up', 'forget': True}
    )


@behave.then(
    'all entries refuse the key and know the route within {limit_s:d} s'
)
def refuse_key(context, limit_s):
    for name in context.entries:
        local_site.wait_until(
            lambda name=name: _send_complaint(context, name)[0] == 401,
            f'{name} refuses the key',
            context.changed_s + limit_s - time.monotonic(),
        )
        url = f'http://{context.fleet.addresses[name]}/new/x'
        request = urllib.request.Request(url, b'n', method='POST')
        request.add_header('Host', fleet_site.HOST)
        request.add_header('Request-Id', 'n-1')
        with urllib.request.urlopen(request, timeout=5) as answer:
            assert answer.status == 200


@behave.then('all entries refuse the key for {span_s:d} s')
def keeps_refusing(context, span_s):
    until_s = time.monotonic() + span_s
    while time.monotonic() < until_s:
        for name in context.entries:
            assert _send_complaint(context, name)[0] == 401
        time.sleep(0.05)


@behave.when('the store is unavailable and another entry starts')
def start_in_outage(context):
    context.fleet.post('store', '/standin/faults', {'mode': 'busy'})
    context.fleet.start_entry('entry-9', 'fd-1')
    fleet_site.wait_ready(context.fleet, 'entry-9')


@behave.then('the new entry serves a complaint')
def new_entry_serves(context):
    context.answer = _send_complaint(context, 'entry-9')
    complaint_ran(context)


@behave.when(
    'the operator moves complaints to a version that {what} within '
    '{duration_s:d} s'
)
def roll_out(context, what, duration_s):
    fleet = context.fleet
    for name in ('n0', 'n1'):
        fleet.start_process(
            name, ['standins.fleet.replica', f'--endpoint-id={name}']
        )
        if what == 'fails':
            fleet.post(name, '/standin/faults', {'mode': 'error'})
        fleet.register(name, 'desk', 'fd-0', version='v2')
    fleet.write_row(
        'op',
        'rollout/desk',
        {'service': 'desk', 'to': 'v2', 'duration_s': duration_s},
    )
    until_s = time.monotonic() + duration_s
    context.complaint_numbers = itertools.count()
    while time.monotonic() < until_s and _rollout_state(context) in (
        None,
        'running',
    ):
        _send_next_complaint(context)


def _send_next_complaint(context):
    number = next(context.complaint_numbers)
    entry = context.entries[number % len(context.entries)]
    _send_complaint(context, entry, request_id=f'r-{number}')
    time.sleep(0.02)


def _rollout_state(context):
    rows = local_site.http_json(
        'GET', f'http://{context.fleet.addresses["store"]}/standin/rows'
    )
    for row in rows:
        if (row['table'], row['key']) == ('status', 'rollout/desk'):
            return json.loads(base64.b64decode(row['value']))['state']
    return None


@behave.then(
    'the store shows "{state}" and {count:d} complaints go to the '
    '{which} version'
)
def rolled_out(context, state, count, which):
    assert _rollout_state(context) == state
    time.sleep(0.5)
    before = {
        name: len(context.fleet.runs(name)) for name in COMPLAINT_ENDPOINTS
    }
    for _ in range(count):
        _send_next_complaint(context)
    used = {
        name
        for name in COMPLAINT_ENDPOINTS
        if len(context.fleet.runs(name)) > before[name]
    }
    assert used == ({'p0'} if which == 'old' else {'n0', 'n1'}), used


@behave.when('damaged rows of endpoints are written')
def damaged_rows(context):
    row = context.fleet.endpoint_row('p0', 'desk', 'fd-0')
    for number, value in enumerate(
        (
            7,
            {},
            {'service': 'desk'},
            row | {'service': 3},
            row | {'address': 'x'},
            row | {'state': '?'},
        )
    ):
        context.fleet.write_row('servers', f'odd-{number}', value)
    time.sleep(0.6)


# Texts that replace the value of a field in the row of an endpoint.
_ODD_FIELDS = {
    'nested': ('more', '[' * 3000 + ']' * 3000),
    'nested-zone': ('zone', '[' * 3000 + ']' * 3000),
    'slots': ('slots', '9' * 400),
    'many-slots': ('slots', '9' * 18),
    'born': ('born', '9' * 40),
    'sequence': ('sequence', '9' * 400),
    'port': ('address', '"127.0.0.1:70000"'),
    'port-space': ('address', '"127.0.0.1: 80"'),
    'host': ('address', '"0.0.0.0:80"'),
    'zone': ('zone', '"\\udc00"'),
    'ι': ('state', '"ready"'),
}


@behave.when('odd rows are left among those of the endpoints')
def odd_rows(context):
    for key, (field, text) in _ODD_FIELDS.items():
        row = context.fleet.endpoint_row('p0', 'desk', 'fd-0')
        content = json.dumps(row | {field: 'REPLACED'})
        context.fleet.post(
            'store',
            '/standin/rows',
            {
                'table': 'servers',
                'part': '',
                'key': key,
                'value': content.replace('"REPLACED"', text),
            },
        )
    # Followers pause for half a second between reads.
    time.sleep(1.2)


@behave.when('another entry starts beside them')
def another_entry_starts(context):
    name = f'entry-{len(context.entries)}'
    context.fleet.start_entry(name, 'fd-0')
    fleet_site.wait_ready(context.fleet, name)
    context.entries.append(name)


@behave.when('the endpoint "{new}" takes over from "{old}"')
def endpoint_takes_over(context, new, old):
    context.fleet.start_replica(new, 'desk', 'fd-0')
    context.fleet.unregister(old)
    time.sleep(1.2)


@behave.then('each entry serves {count:d} complaints at "{endpoint}"')
def serves_at(context, count, endpoint):
    for name in context.entries:
        for number in range(count):
            status, headers, body = _send_complaint(
                context, name, request_id=f'{name}-{endpoint}-{number}'
            )
            assert status == 200, (name, status, body)
            signature = headers['Response-Signature']
            assert signature == f'signed-{endpoint}', (name, signature)


@behave.then('no entry has ended or restarted a task')
def none_ended(context):
    for name in context.entries:
        assert context.fleet.processes[name].poll() is None, name
        unexpected = [
            line
            for line in context.fleet.log(name)
            if 'nexpected' in line['message']
        ]
        assert not unexpected, unexpected


@behave.then('each entry logged each odd row once')
def logged_odd_rows(context):
    for name in context.entries:
        logged = [
            line['endpoint_id']
            for line in context.fleet.log(name)
            if line['message'].endswith('Endpoint row is invalid.')
        ]
        assert sorted(logged) == sorted(_ODD_FIELDS), (name, logged)


_ODD_SETTINGS = (
    b'',
    b'\xff\xfe',
    b'[]',
    b'[' * 100_000 + b']' * 100_000,
    b'{"more":' + b'[' * 100_000 + b']' * 100_000 + b'}',
    b'{"peer_ports": [1e400, "x"]}',
    b'{"stop_limit_s": ' + b'9' * 400 + b'}',
)


@behave.when('the settings file gets odd contents, each followed by SIGHUP')
def odd_settings(context):
    for number, content in enumerate(_ODD_SETTINGS, 1):
        (context.fleet.folder / 'entry-0.json').write_bytes(content)
        context.fleet.signal('entry-0', signal.SIGHUP)
        local_site.wait_until(
            lambda number=number: _settings_errors(context) >= number,
            f'an error for content {number}',
            2.0,
        )


def _settings_errors(context):
    return sum(
        line['message'].endswith('keeping the current ones.')
        for line in context.fleet.log('entry-0')
    )


@behave.then('the entry logged an error for each')
def logged_settings(context):
    assert _settings_errors(context) == len(_ODD_SETTINGS)


@behave.when('the plain endpoint loses the answer to a complaint')
def lose_answer(context):
    context.fleet.post('p0', '/standin/faults', {'mode': 'lost'})
    context.answer = _send_complaint(context)


@behave.then('the complaint gets status {status:d} and ran once')
def complaint_failed(context, status):
    assert context.answer[0] == status, context.answer
    assert not json.loads(context.answer[2])['not_run']
    assert len(context.fleet.runs('p0')) == 1


@behave.then('the log gives the endpoint and the reason under its id')
def log_explains(context):
    lines = [
        line
        for line in context.fleet.log('entry-0')
        if line.get('request_id') == 'c-1'
    ]
    assert any(
        line.get('endpoint_id') == 'p0' and line.get('reason')
        for line in lines
    ), lines
    assert lines[-1]['outcome'] == 'failed', lines


@behave.then('the metrics count the refusal')
def metrics_count(context):
    url = f'http://{context.fleet.port_address("entry-0", 3)}/metrics'
    with urllib.request.urlopen(url, timeout=2) as answer:
        text = answer.read().decode()
    assert re.search(r'refusals_total\{.*OUTCOME_UNKNOWN.*\} 1', text), text


@behave.then(
    'the operator command shows version {version:d}, '
    '{count:d} endpoints and {damaged:d} damaged rows'
)
def operator_sees(context, version, count, damaged):
    ran = subprocess.run(
        [
            sys.executable,
            '-m',
            'godwitvalve.operator_cli.main',
            'fleet',
            f'--store={context.fleet.store}',
            '--json',
        ],
        capture_output=True,
        text=True,
        env={**os.environ, 'PYTHONPATH': str(SOURCES.parent)},
    )
    assert ran.returncode == 0, ran.stderr
    seen = json.loads(ran.stdout)
    assert seen['configuration_version'] == version
    assert sum(each['count'] for each in seen['endpoints']) == count, seen
    assert len(seen['damaged_rows']) == damaged, seen


@behave.then(
    'settings without an address and with a wrong number report both errors'
)
def settings_errors(context):
    raw = {
        'instance_id': 'e',
        'failure_domain': 'f',
        'ip': '127.0.0.1',
        'readiness_address': '127.0.0.1:1',
        'directory_address': '127.0.0.1:2',
        'control_address': '127.0.0.1:3',
        'peer_ports': [4, 5],
        'store_address': '127.0.0.1:6',
        'stop_limit_s': 'soon',
    }
    try:
        settings.decode(json.dumps(raw).encode())
    except settings.SettingsError as error:
        reported = {line.partition(':')[0] for line in str(error).splitlines()}
        assert reported == {'caller_address', 'stop_limit_s'}, reported
        return
    raise AssertionError('the settings were accepted')


@behave.then('settings with one port for entries report "{name}"')
def single_port(context, name):
    raw = {
        **dict.fromkeys(
            (
                'caller_address',
                'readiness_address',
                'directory_address',
                'control_address',
                'store_address',
            ),
            '127.0.0.1:1',
        ),
        'instance_id': 'e',
        'failure_domain': 'f',
        'ip': '127.0.0.1',
        'peer_ports': [4, 4],
    }
    try:
        settings.decode(json.dumps(raw).encode())
    except settings.SettingsError as error:
        assert str(error).startswith(f'{name}:'), error
    else:
        raise AssertionError('no error')


# Header, row and field names that only the platform's wire format uses.
WIRE_NAMES = re.compile(
    r"""['"](kv-\w+|deadline-ms|expected-instance|api-key|tenants?|"""
    r"""traffic_split|target_latency_ms|gap_target_ms|token-usage|"""
    r"""prompt-prefix|not-executed|server-load|expected_rev|ttl_s)['"]""",
    re.IGNORECASE,
)


@behave.then('no module outside the adapter uses a name of the wire format')
def wire_names_in_adapter(context):
    found = [
        (path.name, match[0])
        for path in SOURCES.rglob('*.py')
        if path.parent.name != 'platform'
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert not found, found
