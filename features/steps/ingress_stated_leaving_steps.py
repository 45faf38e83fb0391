"""Steps for endpoints that state in their answers that they leave."""

from __future__ import annotations

import itertools
import time

import behave
from features.steps import ingress_steps

PAUSE_S = 0.01


@behave.when('the store goes down, and "{name}" states that it leaves')
def states_it(context, name):
    context.fleet.post('store', '/standin/faults', {'mode': 'busy'})
    context.fleet.post(name, '/standin/leaving', {})
    context.left_s = time.monotonic()
    context.request_ids = itertools.count()


@behave.when(
    'the store goes down, and "{name}" removes its row and states that it '
    'leaves'
)
def removes_row(context, name):
    states_it(context, name)
    context.fleet.unregister(name)


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
