"""Steps for a store that loses its answers while endpoints come and leave."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import behave
from features.steps import ingress_restored_store_steps as restored_steps
from features.steps import ingress_steps
from godwitvalve.fleet import poll_checks
from godwitvalve.fleet import sources
from godwitvalve.platform import store as stores
from standins.fleet import site as fleet_site

PATH = fleet_site.CALL_PREFIX + 'x'
DOMAIN = 'fd-0'
LEAVING = 'p0'
# For so long requests are sent after the endpoint has left.
WATCHED_S = 6.0
# For requests on their way when the limit passes.
SLACK_S = 0.3


@behave.given('a fleet with {count:d} entries in one failure domain')
def fleet_in_one_domain(context, count):
    fleet = ingress_steps._fleet(context)
    fleet.write_row('op', 'config', fleet_site.configuration(5))
    for number in range(4):
        fleet.start_replica(f'p{number}', 'desk', DOMAIN)
    context.entries = [f'entry-{number}' for number in range(count)]
    for name in context.entries:
        fleet.start_entry(name, DOMAIN)
    for name in context.entries:
        fleet_site.wait_ready(fleet, name)


@behave.when(
    'the store loses its answers for {lost_s:g} s while an endpoint is added'
)
def loses_answers(context, lost_s):
    context.fleet.post('store', '/standin/faults', {'mode': 'lossy'})
    time.sleep(lost_s / 2)
    # All entries have begun to poll again; these answers are lost, too.
    context.fleet.start_replica('p4', 'desk', DOMAIN)
    time.sleep(lost_s / 2)
    context.fleet.post('store', '/standin/faults', {'mode': 'up'})


@behave.when(
    'the store is sound for {sound_s:g} s and the row of an endpoint is {row} '
    'then'
)
def leaves(context, sound_s, row):
    time.sleep(sound_s)
    if row == 'removed':
        context.fleet.unregister(LEAVING)
    else:
        context.fleet.register(LEAVING, 'desk', DOMAIN, row)
    context.left_s = time.monotonic()
    probes = restored_steps._Probes(context, PATH, fleet_site.KEY)
    probes.start()
    time.sleep(WATCHED_S)
    probes.stop()


@behave.then(
    'that endpoint gets no request later than {limit_s:g} s after that'
)
def no_late_request(context, limit_s):
    arrivals_s = {
        name: context.fleet.arrivals_s(name) for name in ('p0', 'p1')
    }
    assert any(at_s > context.left_s + limit_s for at_s in arrivals_s['p1'])
    late_s = [
        round(at_s - context.left_s, 2)
        for at_s in arrivals_s[LEAVING]
        if at_s > context.left_s + limit_s + SLACK_S
    ]
    assert not late_s, late_s


@behave.when('a call of the entry to the store gets no answer')
def call_without_answer(context):
    async def call():
        with contextlib.suppress(stores.StoreUnavailable):
            await context.entry._store.rows('members')

    context.polls = {
        table: poll_checks.Poll(time.monotonic(), sources.STORE_WAIT_S)
        for table in context.entry._poll_checks
    }
    with _silent_listener() as address:
        context.entry._store.set_address(address)
        asyncio.run(call())


@contextlib.contextmanager
def _silent_listener():
    """Yield the address of a port that accepts and never answers."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        yield f'127.0.0.1:{listener.getsockname()[1]}'


@behave.then('its polls of both tables are ended, as "{reason}"')
def polls_ended(context, reason):
    now_s = time.monotonic()
    found = [
        checks.end_reason(context.polls[table], sources.STORE_WAIT_S, now_s)
        for table, checks in context.entry._poll_checks.items()
    ]
    assert found == [reason] * 2, found
