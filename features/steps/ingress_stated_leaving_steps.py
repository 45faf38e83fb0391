"""Steps for endpoints that state in their answers that they leave."""

from __future__ import annotations

import itertools
import time

import behave
from features.steps import ingress_steps

PAUSE_S = 0.01
# Longer than several heartbeats of entries.
LEAVING_LOAD_S = 0.7
# A row is known to all entries within this time.
KNOWN_AFTER_S = 0.7


@behave.when('the store goes down, and "{name}" states that it leaves')
def states_it(context, name):
    context.fleet.post('store', '/standin/faults', {'mode': 'busy'})
    _state_leaving(context, name)
    context.left_s = time.monotonic()
    context.request_ids = itertools.count()


@behave.when(
    'the store goes down, and "{name}" removes its row and states that it '
    'leaves'
)
def removes_row(context, name):
    states_it(context, name)
    context.fleet.unregister(name)


def _state_leaving(context, name):
    context.fleet.post(name, '/standin/leaving', {})


def _remove_row(context, name):
    context.fleet.unregister(name)


def _announce_in_row(context, name):
    context.fleet.register(name, 'desk', 'fd-0', state='draining')
    # The heartbeats end with it, so that the late one is the last.
    context.fleet.set_heartbeat(name, None)


LEAVING_STEPS = {
    'states that it leaves and removes its row': (
        _state_leaving,
        _remove_row,
    ),
    'announces in its row that it leaves': (_announce_in_row,),
    'announces it in its row and removes that': (
        _announce_in_row,
        _remove_row,
    ),
}


@behave.when('"{name}" {leaves}, while "{entry}" sends complaints')
def leaves_under_load(context, name, leaves, entry):
    context.request_ids = itertools.count()
    context.leaving_name = name
    sends_complaints(context, entry, LEAVING_LOAD_S)
    for step in LEAVING_STEPS[leaves]:
        step(context, name)
        sends_complaints(context, entry, LEAVING_LOAD_S)


@behave.when('its last heartbeat is done {late_s:g} s after that')
def late_heartbeat(context, late_s):
    time.sleep(late_s)
    name = context.leaving_name
    row = context.fleet.endpoint_row(name, 'desk', 'fd-0')
    context.fleet.write_row('servers', name, row)
    time.sleep(KNOWN_AFTER_S)


@behave.when('"{entry}" sends complaints for {span_s:g} s')
def sends_complaints(context, entry, span_s):
    context.began_s = time.monotonic()
    while time.monotonic() < context.began_s + span_s:
        request_id = f'c-{next(context.request_ids)}'
        status, _, _ = ingress_steps._send_complaint(
            context, entry, request_id=request_id
        )
        assert status == 200, status
        time.sleep(PAUSE_S)


@behave.then(
    '"{name}" gets none of them later than {limit_s:g} s after its first such '
    'answer'
)
def none_after_answer(context, name, limit_s):
    arrivals_s = [
        each
        for each in context.fleet.arrivals_s(name)
        if each > context.left_s
    ]
    assert arrivals_s, 'it got no request, so that it could state nothing'
    late_s = [
        round(each - arrivals_s[0], 2)
        for each in arrivals_s
        if each > arrivals_s[0] + limit_s
    ]
    assert not late_s, late_s


@behave.then('"{name}" gets none of them')
def gets_none(context, name):
    arrivals_s = context.fleet.arrivals_s(name)
    assert arrivals_s[-1] < context.began_s, arrivals_s
