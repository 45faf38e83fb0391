"""Steps for a store that comes back from an older copy."""

from __future__ import annotations

import base64
import contextlib
import http.client
import json
import threading
import time
import urllib.error
import urllib.request

import behave
from features.steps import ingress_steps
from godwitvalve.ingress import membership
from standins.fleet import site as fleet_site
from standins import local_site

WITHDRAWN_KEY = 'key-of-zenith'
# Transactions of other writers after the copy, which the return loses.
LOST_WRITES = 100
# Transactions of other writers after the return, if it counts "beyond".
OTHER_WRITES = 1000
AWAY_S = 0.5
PASSES_LATER_S = 1.0
# Longest time until the rows of endpoints are written again.
HEARTBEATS_S = 2.0
POLL_S = 0.05
# Within this time all entries have read what was written.
READ_S = 2.0
UNREACHABLE = 0


def _configuration(version, is_key_valid, added=()):
    raw = fleet_site.configuration(version)
    if is_key_valid:
        raw['tenants'].append({'name': 'zenith', 'api_keys': [WITHDRAWN_KEY]})
    raw['routes'] += [
        {
            **fleet_site.route(f'r-{name}', f'/{name}/', 'idempotent', 'desk'),
            'public': True,
        }
        for name in added
    ]
    return raw


def _row(table, key, value):
    row = {'table': table, 'part': '', 'key': key}
    return {**row, 'value': json.dumps(value)}


def _send(context, entry, path, request_id='probe', key=''):
    """Send an idempotent or public request; return its status."""
    url = f'http://{context.fleet.addresses[entry]}{path}'
    request = urllib.request.Request(url, b'noise', method='POST')
    request.add_header('Host', fleet_site.HOST)
    request.add_header('Request-Id', request_id)
    request.add_header('Deadline-Ms', '2000')
    if key:
        request.add_header('Api-Key', key)
    try:
        with urllib.request.urlopen(request, timeout=3) as answer:
            answer.read()
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code
    except (OSError, http.client.HTTPException):
        return UNREACHABLE


class _Probes(threading.Thread):
    """Repeats a request at all entries; records when each was sent."""

    def __init__(self, context, path, key):
        super().__init__(daemon=True)
        self.statuses = []
        self._context = context
        self._path = path
        self._key = key
        self._stopping = threading.Event()
        context.cleanups.append(self.stop)

    def run(self):
        number = 0
        while not self._stopping.is_set():
            for name in self._context.entries:
                number += 1
                sent_s = time.monotonic()
                request_id = f'{name} {number}'
                status = _send(
                    self._context, name, self._path, request_id, self._key
                )
                self.statuses.append((sent_s, name, status))
            self._stopping.wait(POLL_S)

    def stop(self):
        self._stopping.set()
        if self.is_alive():
            self.join()


def _complaints(context):
    """Start complaints at all entries until the end of the scenario."""
    path = fleet_site.CALL_PREFIX + 'x'
    context.complaints = _Probes(context, path, fleet_site.KEY)
    context.complaints.start()


def _wait_for_key(context, is_valid):
    path = fleet_site.CALL_PREFIX + 'x'
    for name in context.entries:
        local_site.wait_until(
            lambda name=name: (
                (_send(context, name, path, key=WITHDRAWN_KEY) != 401)
                is is_valid
            ),
            f'the key is valid at {name}: {is_valid}',
            READ_S,
        )


@behave.given(
    'the operator withdraws a key that a copy of the store still has'
)
def withdraw_key(context, copied_before_s=0.0):
    fleet = context.fleet
    fleet.write_row('op', 'config', _configuration(6, True))
    _wait_for_key(context, True)
    _copy_store(context)
    time.sleep(copied_before_s)
    fleet.post('store', '/standin/faults', {'other_writes': LOST_WRITES})
    fleet.write_row('op', 'config', _configuration(7, False))
    _wait_for_key(context, False)
    # All entries read a heartbeat, so they know versions above the copy's.
    time.sleep(HEARTBEATS_S)
    # From now on only rows that differ get a new version.
    fleet.post('store', '/standin/faults', {'keeps_equal_rows': True})
    path = fleet_site.CALL_PREFIX + 'x'
    context.withdrawn = _Probes(context, path, WITHDRAWN_KEY)
    context.withdrawn.start()


@behave.given(
    'the operator withdraws a key that a copy of the store of {seconds:d} s '
    'before still has'
)
def withdraw_key_later(context, seconds):
    withdraw_key(context, seconds)


def _copy_store(context):
    # Writes at the same moment are neither before nor after the copy.
    time.sleep(0.1)
    context.copied_s = time.monotonic()
    time.sleep(0.1)


def _come_back(context, counter, rows=()):
    fleet = context.fleet
    _complaints(context)
    is_beyond = counter == 'beyond at once'
    context.returned = fleet.restore_store(
        time.monotonic() - context.copied_s,
        AWAY_S,
        rows=list(rows),
        other_writes=OTHER_WRITES if is_beyond else 0,
    )
    context.returned_s = time.monotonic()
    if counter == 'beyond 1 s later':
        passes = threading.Timer(
            PASSES_LATER_S,
            fleet.post,
            ('store', '/standin/faults', {'other_writes': OTHER_WRITES}),
        )
        passes.start()
        context.cleanups.append(passes.join)
    else:
        assert counter in ('from there', 'beyond at once'), counter


@behave.when('the store comes back and counts {counter}, and a route is added')
def come_back_with_route(context, counter):
    come_back_with_configuration(context, counter, 9)


@behave.when(
    'the store comes back and counts {counter}, and a route is added as '
    'version {version:d}'
)
def come_back_with_configuration(context, counter, version):
    added = _configuration(version, False, ['added'])
    _come_back(context, counter, [_row('op', 'config', added)])
    context.changed_s = context.returned_s


@behave.when('the store comes back and counts {counter}, and "{name}" leaves')
def come_back_with_leaving(context, counter, name):
    fleet = context.fleet
    row = fleet.endpoint_row(name, 'desk', 'fd-1', 'draining')
    fleet.set_heartbeat(name, row)
    _come_back(context, counter, [_row('servers', name, row)])
    context.changed_s = context.returned_s


@behave.when(
    'the store comes back and counts {counter}, and "{name}" registers'
)
def come_back_with_registered(context, counter, name):
    fleet = context.fleet
    fleet.start_process(
        name, ['standins.fleet.replica', f'--endpoint-id={name}']
    )
    row = fleet.endpoint_row(name, 'desk', 'fd-1')
    fleet.set_heartbeat(name, row)
    _come_back(context, counter, [_row('servers', name, row)])
    context.changed_s = context.returned_s


@behave.when('the store comes back and counts {counter}')
def come_back(context, counter):
    _come_back(context, counter)


@behave.when(
    '{seconds:d} seconds pass until the operator writes again what was lost'
)
def write_again(context, seconds):
    time.sleep(seconds)
    context.fleet.write_lost(context.returned['lost'])
    context.written_again_s = time.monotonic()


@behave.when('another second passes')
def another_second(context):
    time.sleep(1.0)


@behave.when('the operator adds a route')
def add_route(context):
    added = _configuration(9, False, ['added'])
    context.fleet.write_row('op', 'config', added)
    context.changed_s = time.monotonic()


@behave.then('all entries know the added route within {limit_s:d} s')
def know_route(context, limit_s):
    try:
        for name in context.entries:
            local_site.wait_until(
                lambda name=name: _send(context, name, '/added/x') == 200,
                f'{name} knows the route',
                context.changed_s + limit_s - time.monotonic(),
            )
    except TimeoutError as error:
        for name in context.entries:
            error.add_note(context.fleet.log_end(name))
        raise


@behave.then('no entry served the withdrawn key')
def key_withdrawn(context):
    context.withdrawn.stop()
    others = [
        (round(sent_s - context.copied_s, 3), *of)
        for sent_s, *of in context.withdrawn.statuses
        if of[1] != 401
    ]
    assert context.withdrawn.statuses
    assert not others, others


def _arrived_after(context, name, moment_s):
    """Return how long after a moment complaints arrived at an endpoint."""
    return [
        round(arrived_s - moment_s, 3)
        for arrived_s in context.fleet.arrivals_s(name)
        if arrived_s > moment_s
    ]


@behave.then('"{name}" gets no complaint later than {limit_s:d} s after that')
def unused_later(context, name, limit_s):
    time.sleep(context.changed_s + limit_s + 1.5 - time.monotonic())
    context.complaints.stop()
    late = _arrived_after(context, name, context.changed_s + limit_s)
    assert not late, late
    assert _arrived_after(context, 'p0', context.changed_s + limit_s)


@behave.then('"{name}" gets complaints of all entries within {limit_s:d} s')
def used_soon(context, name, limit_s):
    def senders():
        return {run[0].partition(' ')[0] for run in context.fleet.runs(name)}

    local_site.wait_until(
        lambda: senders() >= set(context.entries),
        f'{name} is used',
        context.changed_s + limit_s - time.monotonic(),
    )


@behave.given('"{name}" removes its row')
def remove_row(context, name):
    context.fleet.unregister(name)
    # All entries know of the removal.
    time.sleep(HEARTBEATS_S)


@behave.given('"{name}" announces its leaving')
def announce_leaving(context, name):
    context.fleet.register(name, 'desk', 'fd-1', 'draining')
    time.sleep(HEARTBEATS_S)
    # It has stopped to write when the store returns.
    context.fleet.unregister(name)
    time.sleep(HEARTBEATS_S)


@behave.then('"{name}" got no complaint since the return')
def unused_since_return(context, name):
    context.complaints.stop()
    began_s = context.returned_s - AWAY_S
    assert not _arrived_after(context, name, began_s), _arrived_after(
        context, name, began_s
    )
    assert _arrived_after(context, 'p0', began_s)


@behave.given('"{name}" registers after the copy')
def register_after_copy(context, name):
    context.fleet.start_replica(name, 'desk', 'fd-0')
    path = fleet_site.CALL_PREFIX + 'x'
    for entry in context.entries:
        local_site.wait_until(
            lambda entry=entry: (
                _send(context, entry, path, key=fleet_site.KEY) == 200
            ),
            f'{entry} uses {name}',
            READ_S,
        )


@behave.then('"{name}" serves all complaints for {seconds:d} s')
def serves_all(context, name, seconds):
    time.sleep(context.returned_s + seconds - time.monotonic())
    context.complaints.stop()
    failed = [
        (round(sent_s - context.returned_s, 3), *of)
        for sent_s, *of in context.complaints.statuses
        if of[1] != 200
    ]
    assert not failed, failed
    assert _arrived_after(context, name, context.returned_s)


@behave.given('the store is copied before the order')
def copy_before_order(context):
    _copy_store(context)
    context.fleet.post(
        'store', '/standin/faults', {'other_writes': LOST_WRITES}
    )


@behave.given('the store is copied while it was running')
def copy_while_running(context):
    def copy():
        with contextlib.suppress(TimeoutError):
            local_site.wait_until(
                lambda: ingress_steps._rollout_state(context) == 'running',
                'the roll-out is running',
            )
            _copy_store(context)
            context.fleet.post(
                'store', '/standin/faults', {'other_writes': LOST_WRITES}
            )

    copying = threading.Thread(target=copy, daemon=True)
    copying.start()
    context.cleanups.append(copying.join)


def _status_writes(context):
    """Return the states written to the row of status since the return."""
    after = context.returned['copy_ver']
    answer = local_site.http_json(
        'GET',
        f'http://{context.fleet.addresses["store"]}/rows-feed?table=status'
        f'&after={after}&wait_ms=0',
    )
    return [
        json.loads(base64.b64decode(row['value']))['state']
        for row in answer['rows']
        if row['key'] == 'rollout/desk'
    ]


@behave.then('the status "{state}" is written again once within {limit_s:d} s')
def status_written_again(context, state, limit_s):
    local_site.wait_until(
        lambda: _status_writes(context),
        'the status is written again',
        context.written_again_s + limit_s - time.monotonic(),
    )
    # A second writer would follow within this time.
    time.sleep(context.written_again_s + limit_s + 0.5 - time.monotonic())
    assert _status_writes(context) == [state], _status_writes(context)


@behave.then('only "{which}" endpoints got complaints since the return')
def decided_version(context, which):
    context.complaints.stop()
    began_s = context.returned_s - AWAY_S
    counts = {
        name: len(_arrived_after(context, name, began_s))
        for name in ingress_steps.COMPLAINT_ENDPOINTS
    }
    used = {name for name, count in counts.items() if count}
    decided = {'p0'} if which == 'old' else {'n0', 'n1'}
    assert used and used <= decided, counts


@behave.when('another entry starts')
def start_entry(context):
    context.fleet.start_entry('entry-9', 'fd-1')
    fleet_site.wait_ready(context.fleet, 'entry-9')
    context.started_s = time.monotonic()


@behave.then(
    'the new entry refuses the withdrawn key within {limit_s:d} s and stays so'
)
def new_entry_refuses(context, limit_s):
    path = fleet_site.CALL_PREFIX + 'x'

    def is_refused():
        return _send(context, 'entry-9', path, key=WITHDRAWN_KEY) == 401

    if limit_s:
        remaining_s = context.started_s + limit_s - time.monotonic()
        local_site.wait_until(is_refused, 'the key is refused', remaining_s)
    until_s = time.monotonic() + 1.0
    while time.monotonic() < until_s:
        assert is_refused()
        time.sleep(POLL_S)


@behave.then(
    'the row of the new entry is written again once within {limit_s:d} s'
)
def entry_row_written(context, limit_s):
    after = context.returned['copy_ver']

    def count():
        answer = local_site.http_json(
            'GET',
            f'http://{context.fleet.addresses["store"]}/rows-feed'
            f'?table={membership.TABLE}&after={after}&wait_ms=0',
        )
        return sum(row['key'] == 'entry-9' for row in answer['rows'])

    deadline_s = context.returned_s + limit_s
    local_site.wait_until(
        count, 'the row is written again', deadline_s - time.monotonic()
    )
    time.sleep(max(deadline_s - time.monotonic(), 0.0))
    assert count() == 1, count()


@behave.when('the store states its era as "{first}" and then as "{second}"')
def state_eras(context, first, second):
    for text in (first, second):
        header = '' if text == 'nothing' else text
        context.fleet.post('store', '/standin/faults', {'era_header': header})
        # All feeds end and begin with this era.
        time.sleep(1.2)
