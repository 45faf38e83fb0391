"""Steps for requests that arrive during a planned stop."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import pathlib
import signal
import socket
import subprocess
import tempfile
import threading
import time
from typing import NamedTuple

import behave
from standins.fleet import site as fleet_site

LOOKUP_PREFIX = '/lookups/'
EVENTS = 50
ANSWER = b'done noise'
RECEIVE_BUFFER_BYTES = 16 * 1024
# Time for the threads of all callers to start.
START_S = 0.3
PREFIXES = {
    'once': fleet_site.CALL_PREFIX,
    'repeatable': LOOKUP_PREFIX,
    'stream': fleet_site.STREAM_PREFIX,
}
# A connection that is closed this soon after a request was sent crossed the
# request; the rules of the platform state the time.
CROSSING_S = 0.2
# Version of the store that no row reaches.
LATE_VERSION = 10**6
ROW_PERIOD_S = 0.2
# From when the event loop is held up to the stop signal.
HELD_UP_BEFORE_S = 0.1
# Pause of a peer between its questions.
ASK_PAUSE_S = 0.01


class Result(NamedTuple):
    """End of one request; ``status`` is 0 if it got no complete answer."""

    request_id: str
    kind: str
    sent_after_s: float
    status: int
    body: bytes
    is_closing: bool
    taken_s: float
    error: str


class Caller(threading.Thread):
    """Sends one request at a given time of the stop.

    :param kept: connection to use; None for a new one.
    """

    def __init__(self, context, request_id, kind, at_s, kept=None):
        super().__init__(daemon=True)
        self._context = context
        self._request_id = request_id
        self._kind = kind
        self.at_s = at_s
        self._connection = kept
        self.result = None

    def run(self):
        remaining_s = self._context.stopped_s + self.at_s - time.monotonic()
        time.sleep(max(remaining_s, 0.0))
        connection = self._connection or _connect(self._context)
        sent_s = time.monotonic()
        answer, body, error = None, b'', ''
        try:
            self._send(connection)
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException) as failure:
            error = type(failure).__name__
        is_whole = answer is not None and not error
        self.result = Result(
            self._request_id,
            self._kind,
            round(sent_s - self._context.stopped_s, 2),
            answer.status if is_whole else 0,
            body,
            is_whole and answer.will_close,
            round(time.monotonic() - sent_s, 2),
            error,
        )

    def _send(self, connection):
        connection.request(
            'POST',
            f'{PREFIXES[self._kind]}x',
            b'noise',
            _headers(self._request_id, self._kind),
        )


def _connect(context):
    return http.client.HTTPConnection(
        context.fleet.addresses['entry-0'], timeout=15
    )


def _headers(request_id, kind):
    headers = {
        'Host': fleet_site.HOST,
        'Request-Id': request_id,
        'Api-Key': fleet_site.KEY,
        'Deadline-Ms': '20000',
    }
    if kind == 'stream':
        headers['Token-Usage'] = f'10,{EVENTS}'
        headers['Prompt-Prefix'] = f'aa:5,{request_id}:5'
    return headers


def _kept_connection(context):
    """Return a connection that was used for a request before."""
    connection = _connect(context)
    connection.request('GET', '/unknown', headers={'Host': fleet_site.HOST})
    answer = connection.getresponse()
    answer.read()
    assert answer.status == 404 and not answer.will_close
    return connection


def _configuration(timeout_ms, version=5):
    configuration = fleet_site.configuration(version)
    stream, call = configuration['routes']
    stream['timeout_ms'] = 20000
    call['timeout_ms'] = timeout_ms
    lookup = fleet_site.route('r-l', LOOKUP_PREFIX, 'idempotent', 'desk')
    configuration['routes'].append({**lookup, 'timeout_ms': timeout_ms})
    return configuration


@behave.given('an entry that is killed {limit_s:g} s after its stop signal')
def entry_with_limit(context, limit_s):
    _prepare(context, limit_s, fleet_site.ENTRY)


@behave.given(
    'an entry that is held up and killed {limit_s:g} s after its stop signal'
)
def held_up_entry(context, limit_s):
    _prepare(context, limit_s, 'features.doubles.held_up_entry')


def _prepare(context, limit_s, entry):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.fleet = fleet_site.FleetSite(pathlib.Path(folder.name), (entry,))
    context.cleanups.append(context.fleet.stop)
    context.stop_limit_s = limit_s
    # Called right before the stop signal.
    context.before_stop = []


@behave.given(
    'calls that take {work_ms:d} ms of {timeout_ms:d} ms and streams of '
    '{stream_ms:d} ms'
)
def slow_endpoints(context, work_ms, timeout_ms, stream_ms):
    _start(context, timeout_ms, stream_ms, f'--work-ms={work_ms}')


@behave.given(
    'an endpoint that runs {slots:d} calls at once, each for {work_ms:d} ms'
)
def endpoint_with_slots(context, slots, work_ms):
    _start(context, 10000, 3000, f'--work-ms={work_ms}', f'--slots={slots}')


@behave.given('an endpoint whose answers have {size:d} bytes')
def endpoint_with_size(context, size):
    context.answer_size = size
    padding_bytes = size - len(ANSWER)
    _start(context, 3000, 3000, f'--padding-bytes={padding_bytes}')


def _start(context, timeout_ms, stream_ms, *call_options):
    fleet = context.fleet
    fleet.write_row('op', 'config', _configuration(timeout_ms))
    fleet.start_replica('p0', 'desk', 'fd-0', *call_options)
    gap_ms = stream_ms / EVENTS
    fleet.start_replica('m0', 'model', 'fd-0', f'--gap-ms={gap_ms}')
    fleet.start_entry('entry-0', 'fd-0', stop_limit_s=context.stop_limit_s)
    fleet_site.wait_ready(fleet, 'entry-0')


@behave.given('the entry knows how long streams take')
def known_stream_time(context):
    context.stopped_s = time.monotonic()
    warm_up = Caller(context, 'warm-up', 'stream', 0.0)
    warm_up.run()
    assert warm_up.result.status == 200, warm_up.result


def _stop_and_kill(context):
    """Stop the entry as the platform does, with SIGKILL at the limit."""
    for action in context.before_stop:
        action()
    context.fleet.signal('entry-0', signal.SIGTERM)

    def kill():
        process = context.fleet.processes['entry-0']
        try:
            process.wait(context.stop_limit_s)
        except subprocess.TimeoutExpired:
            process.kill()

    killer = threading.Thread(target=kill, daemon=True)
    killer.start()
    context.cleanups.append(killer.join)


def _play(context, callers, meanwhile=lambda: None):
    """Send the requests of callers around a stop, which begins now.

    Requests of before the stop are sent at once, and the stop begins later.
    """
    lead_s = START_S - min(0.0, *(caller.at_s for caller in callers))
    context.stopped_s = time.monotonic() + lead_s
    for caller in callers:
        caller.start()
    time.sleep(max(context.stopped_s - time.monotonic(), 0.0))
    _stop_and_kill(context)
    meanwhile()
    for caller in callers:
        caller.join(20)
    context.results = [caller.result for caller in callers]


@behave.when('requests of all kinds arrive in each second of the stop')
def in_each_second(context):
    _play(context, _callers_of_each_second(context))


@behave.when(
    'requests of all kinds arrive in each second of the stop, and a '
    'configuration with {timeout_ms:d} ms for calls and SIGHUP come '
    '{at_s:g} s after it'
)
def in_each_second_with_changes(context, timeout_ms, at_s):
    def change():
        time.sleep(at_s)
        configuration = _configuration(timeout_ms, version=6)
        context.fleet.write_row('op', 'config', configuration)
        context.fleet.signal('entry-0', signal.SIGHUP)

    _play(context, _callers_of_each_second(context), change)
    messages = [each['message'] for each in context.fleet.log('entry-0')]
    assert any('Settings were read again' in each for each in messages)
    assert any(
        'Installed a configuration' in each['message']
        and each.get('version') == 6
        for each in context.fleet.log('entry-0')
    ), messages


@behave.when(
    'requests of all kinds arrive in each second of the stop, and SIGTERM and '
    'SIGINT come {at_s:g} s after it'
)
def in_each_second_with_signals(context, at_s):
    def send():
        time.sleep(at_s)
        context.fleet.signal('entry-0', signal.SIGTERM)
        context.fleet.signal('entry-0', signal.SIGINT)

    _play(context, _callers_of_each_second(context), send)
    begun = [
        each
        for each in context.fleet.log('entry-0')
        if 'Drain started' in each['message']
    ]
    assert len(begun) == 1, begun


def _callers_of_each_second(context):
    seconds = range(int(context.stop_limit_s))
    return [
        Caller(
            context,
            f'{kind}-{at_s}-{"kept" if is_kept else "new"}',
            kind,
            at_s,
            _kept_connection(context) if is_kept else None,
        )
        for at_s, kind, is_kept in itertools.product(
            seconds, PREFIXES, (False, True)
        )
    ]


class SlowBody(Caller):
    """Sends the end of a request's body at a given time of the stop."""

    def begin(self):
        connection = _connect(self._context)
        connection.putrequest(
            'POST', f'{PREFIXES[self._kind]}x', skip_host=True
        )
        headers = _headers(self._request_id, self._kind)
        for name, value in (*headers.items(), ('Content-Length', '5')):
            connection.putheader(name, value)
        connection.endheaders(b'noi')
        self._connection = connection

    def _send(self, connection):
        # A connection that was reset shows at the second of two sends.
        connection.send(b's')
        time.sleep(0.1)
        connection.send(b'e')


class LateCaller(SlowBody):
    """Sends a request during the stop, and the end of its body later.

    :param begin_s: seconds from the stop signal to the request.
    """

    def __init__(self, context, request_id, begin_s, pause_s):
        super().__init__(context, request_id, 'once', begin_s + pause_s)
        self._begin_s = begin_s

    def run(self):
        """Send the request, then go on like a slow body."""
        time.sleep(self._context.stopped_s + self._begin_s - time.monotonic())
        self.begin()
        super().run()


@behave.when(
    'a call begins {begin_s:g} s after the stop signal and ends its body '
    '{pause_s:g} s later'
)
def call_begins_late(context, begin_s, pause_s):
    _play(context, [LateCaller(context, 'late-caller', begin_s, pause_s)])


@behave.when('the body of a call is complete {at_s:g} s after the stop signal')
def body_late(context, at_s):
    caller = SlowBody(context, 'late-body', 'once', at_s)
    caller.begin()
    time.sleep(0.3)
    _play(context, [caller])


class Peer(threading.Thread):
    """Waits for changes of a table again and again, as other entries do."""

    def __init__(self, context):
        super().__init__(daemon=True)
        self._connection = http.client.HTTPConnection(
            context.fleet.port_address('entry-0', 3), timeout=15
        )
        self.longest_wait_s = 0.0

    def run(self):
        """Ask until the connection ends."""
        target = f'/fleet/table?table=servers&after={LATE_VERSION}&era=1'
        with contextlib.suppress(OSError, http.client.HTTPException):
            while True:
                began_s = time.monotonic()
                self._connection.request('GET', f'{target}&wait_ms=8000')
                answer = self._connection.getresponse()
                answer.read()
                self.longest_wait_s = max(
                    self.longest_wait_s, time.monotonic() - began_s
                )
                time.sleep(ASK_PAUSE_S)


def _refresh_rows(context, until_s):
    """Write a row again and again; answers of an entry wait if it is new."""
    while time.monotonic() < until_s:
        context.fleet.register('p0', 'desk', 'fd-0')
        time.sleep(ROW_PERIOD_S)


@behave.when(
    'a peer waits for changes and a body stays incomplete until the stop ends'
)
def busy_connections(context):
    until_s = time.monotonic() + START_S + context.stop_limit_s + 2.0
    threading.Thread(
        target=_refresh_rows, args=(context, until_s), daemon=True
    ).start()
    peer = Peer(context)
    peer.start()
    caller = SlowBody(context, 'busy', 'once', 0.0)
    caller.begin()
    # Closes the connection once it is no longer referred to.
    context.cleanups.append(lambda: caller)
    time.sleep(START_S + 1.0)
    context.stopped_s = time.monotonic()
    _stop_and_kill(context)
    peer.join(context.stop_limit_s + 1.0)
    assert peer.longest_wait_s > ROW_PERIOD_S, peer.longest_wait_s


class SlowReader(Caller):
    """Sends a call before the stop and reads the answer during it."""

    def begin(self):
        self._connection = _connect(self._context)
        # Small, so that the answer does not fit into buffers of the kernel.
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.connect((self._connection.host, self._connection.port))
        self._connection.sock = sock
        super()._send(self._connection)

    def _send(self, connection):
        """Send nothing, as the request was sent before the stop."""


@behave.when(
    'a caller of before the stop reads its answer {at_s:g} s after it'
)
def reads_late(context, at_s):
    caller = SlowReader(context, 'slow-reader', 'once', at_s)
    caller.begin()
    time.sleep(0.5)
    _play(context, [caller])


@behave.then('its answer is complete after the stop began')
def answer_complete(context):
    (result,) = context.results
    assert result.status == 200, result._replace(body=len(result.body))
    assert len(result.body) == context.answer_size
    assert result.body.startswith(ANSWER)


@behave.then('its answer is cut and a log line tells so')
def answer_cut(context):
    (result,) = context.results
    assert result.error, result._replace(body=len(result.body))
    assert _waits(context) == {'slow-reader': 'caller'}, _waits(context)


@behave.when(
    'requests of all kinds arrive {lead_s:g} s before the stop signal'
)
def before_stop(context, lead_s):
    callers = [
        Caller(context, f'{kind}-{number}', kind, -lead_s)
        for kind, number in itertools.product(PREFIXES, range(2))
    ]
    _play(context, callers)


@behave.when(
    'requests of all kinds arrive {lead_s:g} s before a stop signal that is '
    'handled late'
)
def before_late_stop(context, lead_s):
    def hold_up():
        time.sleep(START_S + lead_s - HELD_UP_BEFORE_S)
        context.fleet.signal('entry-0', signal.SIGUSR1)

    threading.Thread(target=hold_up, daemon=True).start()
    before_stop(context, lead_s)


@behave.when('{count:d} calls arrive {lead_s:g} s before the stop signal')
def calls_before_stop(context, count, lead_s):
    callers = [
        Caller(context, f'once-{number}', 'once', -lead_s)
        for number in range(count)
    ]
    _play(context, callers)


def _runs(context):
    return {
        run[0] for name in ('p0', 'm0') for run in context.fleet.runs(name)
    }


def _is_complete(result):
    if result.status != 200:
        return False
    if result.kind == 'stream':
        return result.body.endswith(b'id: %d\ndata: token\n\n' % EVENTS)
    return result.body == ANSWER


def _is_refused(result):
    return (
        result.status == 503
        and json.loads(result.body)['not_run']
        and result.is_closing
    )


def _has_crossed_close(context, result):
    """Tell whether a request met a connection that was being closed."""
    return (
        bool(result.error)
        and result.taken_s <= CROSSING_S
        and result.request_id not in _runs(context)
    )


@behave.then('each request got its complete answer or was refused as not run')
def answered_or_refused(context):
    cut = [
        result
        for result in context.results
        if not _is_complete(result)
        and not _is_refused(result)
        and not _has_crossed_close(context, result)
    ]
    if cut:
        print((context.fleet.folder / 'entry-0.log').read_text()[-9000:])
    assert not cut, '\n'.join(map(str, cut))


@behave.then('the requests at {at_s:d} s got their complete answers')
def answered_at(context, at_s):
    results = [
        each for each in context.results if round(each.sent_after_s) == at_s
    ]
    assert results and all(map(_is_complete, results)), results


@behave.then('no endpoint ran a refused request')
def refused_not_run(context):
    refused = {
        result.request_id for result in context.results if _is_refused(result)
    }
    assert refused, context.results
    assert not refused & _runs(context), refused & _runs(context)


@behave.then('the process ended with code 0 before it was killed')
def ended_in_time(context):
    killed_s = context.stopped_s + context.stop_limit_s
    remaining_s = max(killed_s - time.monotonic(), 0.0)
    assert context.fleet.wait('entry-0', remaining_s + 1.0) == 0


def _calls(context):
    return [each for each in context.results if each.kind != 'stream']


@behave.then('the calls failed with status 504 on closing connections')
def calls_failed(context):
    calls = _calls(context)
    assert calls
    assert all(each.status == 504 and each.is_closing for each in calls), calls


@behave.then(
    'the running call failed with status 504 and the others were refused'
)
def others_refused(context):
    # One waiting call at a time is sent, to see whether a slot is free.
    failed = [each for each in context.results if each.status == 504]
    others = [each for each in context.results if each.status != 504]
    assert 1 <= len(failed) <= 2, context.results
    assert all(map(_is_refused, others)), others


@behave.then('the streams were cut after all calls had failed')
def streams_cut_last(context):
    cut = [each for each in context.results if each.kind == 'stream']
    calls_ended_s = max(each.taken_s for each in _calls(context))
    assert cut
    assert all(each.error for each in cut), cut
    assert min(each.taken_s for each in cut) > calls_ended_s, context.results


def _waits(context):
    """Return what each interrupted request waited for, by its id."""
    return {
        line['request_id']: line['waits_for']
        for line in context.fleet.log('entry-0')
        if 'Interrupting a request' in line['message']
    }


@behave.then('a log line tells of each request what it waited for')
def each_logged(context):
    expected = {
        each.request_id: 'events' if each.kind == 'stream' else 'answer'
        for each in context.results
    }
    assert _waits(context) == expected, _waits(context)


@behave.then('a log line tells of each call that waited at the end')
def waiting_logged(context):
    refused_at_end = {
        each.request_id
        for each in context.results
        if json.loads(each.body)['title'] == 'draining'
    }
    assert refused_at_end
    waits = _waits(context)
    found = {waits.get(each) for each in refused_at_end}
    assert found <= {'turn', 'endpoint'}, waits
