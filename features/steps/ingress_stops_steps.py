"""Steps for planned stops, broken answers and restarts of entries."""

from __future__ import annotations

import http.client
import itertools
import json
import signal
import socket
import threading
import time
from unittest import mock

import behave
from features.doubles import forwarding_site
from features.steps import ingress_steps
from godwitvalve.fleet import routes
from godwitvalve.ingress import handler
from godwitvalve.lifecycle import drain
from godwitvalve.lifecycle import lifecycle
from godwitvalve.platform import headers
from standins.fleet import site as fleet_site
from standins import local_site

ANSWER_LIMIT_S = 6.0
_numbers = itertools.count()


def _connect(context, entry='entry-0'):
    return http.client.HTTPConnection(
        context.fleet.addresses[entry], timeout=ANSWER_LIMIT_S
    )


def _send(connection):
    number = next(_numbers)
    connection.request(
        'POST',
        f'{fleet_site.CALL_PREFIX}x',
        b'noise',
        {
            'Host': fleet_site.HOST,
            'Request-Id': f'stop-{number}',
            'Api-Key': fleet_site.KEY,
            'Deadline-Ms': '4000',
        },
    )


def _result(connection):
    """Return status and body, or the name of the error."""
    try:
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__, b''


def _keep_connections(context, count):
    context.kept = []
    for _ in range(count):
        connection = _connect(context)
        _send(connection)
        assert _result(connection)[0] == 200
        context.kept.append(connection)


@behave.when(
    '{new:d} new and {kept:d} kept connections send complaints to a frozen '
    'entry'
)
def send_to_frozen(context, new, kept):
    if 'kept' not in context:
        _keep_connections(context, kept)
        context.fleet.signal('entry-0', signal.SIGSTOP)
        time.sleep(0.1)
    context.sending = [
        *context.kept,
        *(_connect(context) for _ in range(new)),
    ]
    for connection in context.sending:
        _send(connection)
    time.sleep(0.1)


@behave.when('the entry is asked to stop and continues')
def stop_and_continue(context):
    context.fleet.signal('entry-0', signal.SIGTERM)
    context.fleet.signal('entry-0', signal.SIGCONT)


@behave.when('the entry is asked to stop and freezes {delay_s:g} s later')
def stop_and_freeze(context, delay_s):
    _keep_connections(context, 4)
    context.fleet.signal('entry-0', signal.SIGTERM)
    time.sleep(delay_s)
    context.fleet.signal('entry-0', signal.SIGSTOP)


@behave.when('the frozen entry continues after {delay_s:g} s')
def frozen_continues(context, delay_s):
    time.sleep(delay_s)
    context.fleet.signal('entry-0', signal.SIGCONT)


def _is_refused_as_not_run(result):
    status, body = result
    return status == 503 and json.loads(body)['not_run']


@behave.then('all {count:d} complaints are answered with status 200')
def all_answered(context, count):
    results = [_result(each) for each in context.sending]
    assert len(results) == count
    assert all(status == 200 for status, _ in results), results


@behave.then(
    'all {count:d} complaints are answered with status 200 or refused as '
    'not run'
)
def answered_or_refused(context, count):
    results = [_result(each) for each in context.sending]
    assert len(results) == count
    assert all(
        result[0] == 200 or _is_refused_as_not_run(result)
        for result in results
    ), results


def _call_until_refused(context, results):
    """Send on a kept connection until the entry refuses or ends."""
    connection = _connect(context)
    while True:
        try:
            connection.connect()
        except OSError:
            return
        is_open = True
        while is_open:
            try:
                _send(connection)
                answer = connection.getresponse()
                result = answer.status, answer.read()
                is_open = not answer.will_close
            except (OSError, http.client.HTTPException) as error:
                result = type(error).__name__, b''
                is_open = False
            results.append(result)
            if result[0] != 200:
                return
        connection.close()


@behave.when(
    '{count:d} callers send complaints while an entry is asked to stop'
)
def stop_under_load(context, count):
    context.results = []
    callers = [
        threading.Thread(
            target=_call_until_refused, args=(context, context.results)
        )
        for _ in range(count)
    ]
    for caller in callers:
        caller.start()
    time.sleep(0.5)
    context.stopped_s = time.monotonic()
    context.fleet.signal('entry-0', signal.SIGTERM)
    for caller in callers:
        caller.join(10)


@behave.then('each complaint was answered or refused as not run')
def each_answered(context):
    assert len(context.results) > 100, len(context.results)
    cut = [
        result
        for result in context.results
        if result[0] != 200 and not _is_refused_as_not_run(result)
    ]
    assert not cut, cut


class _RawCaller:
    """Caller that reads bytes until its connection ends."""

    def __init__(self, address, version, extra=''):
        host, _, port = address.partition(':')
        self._socket = socket.create_connection((host, int(port)), 10)
        self._socket.sendall(
            f'POST {fleet_site.STREAM_PREFIX}x HTTP/{version}\r\n'
            f'Host: {fleet_site.HOST}\r\nRequest-Id: raw-1\r\n{extra}'
            f'Api-Key: {fleet_site.KEY}\r\nDeadline-Ms: 3000\r\n'
            f'Content-Length: 5\r\n\r\nmonth'.encode()
        )
        self.content = b''
        self.is_reset = False

    def read(self, until_events=None):
        while True:
            try:
                data = self._socket.recv(65536)
            except ConnectionResetError:
                self.is_reset = True
                return
            if not data:
                return
            self.content += data
            if until_events and self.content.count(b'id: ') >= until_events:
                return


def _break_off(context, caller):
    caller.read(until_events=10)
    context.fleet.signal('m0', signal.SIGKILL)
    caller.read()
    context.raw_caller = caller


TOKENS = 'Token-Usage: 10,50\r\n'


@behave.when('a caller of HTTP/1.0 asks for a summary')
def old_caller(context):
    context.raw_caller = _RawCaller(
        context.fleet.addresses['entry-0'], '1.0', TOKENS
    )
    context.raw_caller.read()


@behave.when(
    'a caller of HTTP/1.0 asks for a summary whose endpoint is killed'
)
def old_caller_broken(context):
    address = context.fleet.addresses['entry-0']
    _break_off(context, _RawCaller(address, '1.0', TOKENS))


@behave.when('a closing caller asks for a summary whose endpoint is killed')
def closing_caller_broken(context):
    address = context.fleet.addresses['entry-0']
    _break_off(
        context, _RawCaller(address, '1.1', f'Connection: close\r\n{TOKENS}')
    )


def _summary_events():
    return b''.join(
        b'id: %d\ndata: token\n\n' % number
        for number in range(1, ingress_steps.EVENTS + 1)
    )


@behave.then('its connection ends normally after the complete summary')
def ends_normally(context):
    head, _, body = context.raw_caller.content.partition(b'\r\n\r\n')
    assert not context.raw_caller.is_reset
    assert b' 200 ' in head.partition(b'\r\n')[0], head
    assert b'chunked' not in head.lower(), head
    assert body == _summary_events(), body


@behave.then('its connection is reset before the complete summary')
def is_reset(context):
    assert context.raw_caller.is_reset
    assert b'\r\n0\r\n\r\n' not in context.raw_caller.content
    count = context.raw_caller.content.count(b'id: ')
    assert 10 <= count < ingress_steps.EVENTS, count


@behave.when('the operator removes the key but "{name}" is frozen')
def remove_key_while_frozen(context, name):
    context.fleet.signal(name, signal.SIGSTOP)
    context.entries = [each for each in context.entries if each != name]
    ingress_steps.change_configuration(context)
    ingress_steps.refuse_key(context, 2)


@behave.when('the store fails, "{name}" continues and "{other}" restarts')
def restart_beside_lagging(context, name, other):
    context.fleet.post('store', '/standin/faults', {'mode': 'busy'})
    context.fleet.signal(other, signal.SIGKILL)
    context.fleet.wait(other, 5)
    context.fleet.signal(name, signal.SIGCONT)
    context.fleet.restart_entry(other)


@behave.then(
    '"{name}" refuses the key from its first answer on for {span_s:d} s'
)
def refuses_from_first_answer(context, name, span_s):
    statuses = []

    def is_serving():
        statuses.append(ingress_steps._send_complaint(context, name)[0])
        return statuses[-1] != 503

    local_site.wait_until(is_serving, f'{name} serves', 8.0)
    until_s = time.monotonic() + span_s
    while time.monotonic() < until_s:
        statuses.append(ingress_steps._send_complaint(context, name)[0])
    assert set(statuses) <= {503, 401}, statuses


@behave.when('"{endpoint}" is removed while "{entry}" restarts')
def removed_while_restarting(context, endpoint, entry):
    context.fleet.signal(entry, signal.SIGKILL)
    context.fleet.wait(entry, 5)
    context.fleet.unregister(endpoint)
    context.fleet.restart_entry(entry)
    fleet_site.wait_ready(context.fleet, entry)


@behave.then('{count:d} complaints at "{entry}" go to "{endpoint}" only')
def go_to_one(context, count, entry, endpoint):
    for number in range(count):
        ingress_steps._send_complaint(
            context, entry, request_id=f'left-{number}'
        )
    assert len(context.fleet.runs(endpoint)) == count
    assert not context.fleet.runs('p1')


@behave.given('a handler that drains for {drain_ms:d} ms')
def draining_handler(context, drain_ms):
    stages = lifecycle.Lifecycle(drain_ms / 1000)
    stages.begin_serving()
    context.handler = handler.IngressHandler(None, stages)
    context.handler.begin_drain(drain.schedule(time.monotonic(), 8.0))


@behave.when('{time_ms:d} ms pass')
def time_passes(context, time_ms):
    time.sleep(time_ms / 1000)


def _accepts_with_clock_step(context, step_s):
    stepped_s = time.time() + step_s
    route = forwarding_site.route(routes.RequestKind.ONCE)
    facts = headers.CallerFacts('step', None, '', 0, 0, 0, '')
    with mock.patch('time.time', lambda: stepped_s):
        return context.handler.accepts(route, facts, time.monotonic())


@behave.then('it accepts calls although the clock is set forward {step_s:d} s')
def accepts_after_step(context, step_s):
    assert _accepts_with_clock_step(context, step_s)


@behave.then('it refuses calls although the clock is set back {step_s:d} s')
def refuses_after_step(context, step_s):
    assert not _accepts_with_clock_step(context, -step_s)
