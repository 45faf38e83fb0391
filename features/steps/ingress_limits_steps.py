"""Steps for the limits of endpoints in a fleet of processes."""

from __future__ import annotations

import http.client
import itertools
import signal
import threading
import time
from typing import NamedTuple

import behave
from features.models import permit_simulation
from standins.fleet import site as fleet_site

# The limit counts for an entry this long after it passed on an answer that
# states it.
TOLD_S = 0.5
CALLERS = 8


class Reply(NamedTuple):
    """What a caller got for one complaint.

    :param status: 0 if the entry could not be reached.
    """

    status: int
    retry_after: str
    taken_s: float
    is_not_run: bool


@behave.when('"{endpoint}" states a limit of "{limit}"')
def states_limit(context, endpoint, limit):
    context.fleet.post(endpoint, '/standin/limit', {'limit': limit})


@behave.when('"{endpoint}" states no limit')
def states_no_limit(context, endpoint):
    context.fleet.post(endpoint, '/standin/limit', {'limit': ''})


def _complain(address, request_id):
    began_s = time.monotonic()
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(
            'POST',
            fleet_site.CALL_PREFIX + 'x',
            b'noise',
            {
                'Host': fleet_site.HOST,
                'Request-Id': request_id,
                'Api-Key': fleet_site.KEY,
                'Deadline-Ms': '3000',
            },
        )
        answer = connection.getresponse()
        body = answer.read()
        return Reply(
            answer.status,
            answer.headers.get('Retry-After', ''),
            time.monotonic() - began_s,
            b'"not_run":true' in body,
        )
    except OSError:
        return Reply(0, '', time.monotonic() - began_s, False)
    finally:
        connection.close()


def _send_complaints(context, rate, seconds):
    """Send complaints at a rate to the entries in turn."""
    context.replies = []
    numbers = itertools.count()
    began_s = time.monotonic()
    addresses = [context.fleet.addresses[name] for name in context.entries]
    run = f'{began_s:.6f}'

    def call():
        while (number := next(numbers)) < rate * seconds:
            due_s = began_s + number / rate
            time.sleep(max(due_s - time.monotonic(), 0.0))
            address = addresses[number % len(addresses)]
            context.replies.append(_complain(address, f'{run}-{number}'))

    threads = [threading.Thread(target=call) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    return threads


@behave.when('callers send {rate:d} complaints/s for {seconds:d} s')
def send_complaints(context, rate, seconds):
    for thread in _send_complaints(context, rate, seconds):
        thread.join()


def _kill_and_start(fleet):
    fleet.signal('entry-1', signal.SIGKILL)
    fleet.wait('entry-1', 5)
    time.sleep(3.0)
    fleet.restart_entry('entry-1')


def _freeze(fleet):
    fleet.signal('entry-1', signal.SIGSTOP)
    time.sleep(3.0)
    fleet.signal('entry-1', signal.SIGCONT)


def _stop(fleet):
    fleet.signal('entry-1', signal.SIGTERM)


EVENTS = {
    'killed and started': _kill_and_start,
    'frozen for 3 s': _freeze,
    'asked to stop': _stop,
}


@behave.when(
    'callers send {rate:d} complaints/s for {seconds:d} s while an entry is '
    '{event}'
)
def send_during(context, rate, seconds, event):
    threads = _send_complaints(context, rate, seconds)
    time.sleep(seconds / 3)
    EVENTS[event](context.fleet)
    for thread in threads:
        thread.join()


@behave.then('"{endpoint}" got at most {count:d} requests in any 4 s')
def got_at_most(context, endpoint, count):
    times_s = context.fleet.arrivals_s(endpoint)
    counted = [each for each in times_s if each > times_s[0] + TOLD_S]
    found = permit_simulation.most_in_window(sorted(counted))
    assert 0 < found <= count, found


@behave.then('"{names}" got at least {count:d} requests in the last 4 s')
def got_at_least(context, names, count):
    now_s = time.monotonic()
    found = sum(
        each > now_s - permit_simulation.WINDOW_S
        for name in names.split(', ')
        for each in context.fleet.arrivals_s(name)
    )
    assert found >= count, found


@behave.then('all complaints were answered by an endpoint')
def all_answered(context):
    found = {each.status for each in context.replies}
    assert found == {200}, found


@behave.then(
    'the other complaints were refused within {limit_ms:d} ms as not run'
)
def others_refused(context, limit_ms):
    refused = [each for each in context.replies if each.status != 200]
    assert refused
    for each in refused:
        assert each.status == 503 and each.is_not_run, each
        assert each.taken_s * 1000 <= limit_ms, each


@behave.then('their Retry-After differs')
def retry_after_differs(context):
    found = {each.retry_after for each in context.replies if each.retry_after}
    assert len(found) > 20, found
