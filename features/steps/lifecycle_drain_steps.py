"""Steps for the decisions during a drain."""

from __future__ import annotations

import behave
from godwitvalve.lifecycle import drain

BEGAN_S = 1000.0
ARRIVALS_PER_S = 10


@behave.given('a drain of a process that is killed {stop_s:g} s later')
def drain_of_process(context, stop_s):
    context.stop_s = stop_s
    context.schedule = drain.schedule(BEGAN_S, stop_s)


@behave.when(
    'requests that take {taken_s:g} s arrive until the process is killed'
)
def requests_arrive(context, taken_s):
    context.taken_s = taken_s
    context.accepted_s = []
    for number in range(int(context.stop_s * ARRIVALS_PER_S)):
        arrived_s = BEGAN_S + number / ARRIVALS_PER_S
        deadline_s = arrived_s + taken_s
        if drain.admits(context.schedule, arrived_s, deadline_s):
            context.accepted_s.append(arrived_s - BEGAN_S)


@behave.then('each accepted request ends {margin_s:g} s before that')
def end_before(context, margin_s):
    assert all(
        each + context.taken_s <= context.stop_s - margin_s + 1e-6
        for each in context.accepted_s
    ), context.accepted_s


@behave.then(
    'the requests of the first {span_s:g} s are accepted, no later ones'
)
def first_accepted(context, span_s):
    expected = round(span_s * ARRIVALS_PER_S) + 1
    accepted = [round(each * ARRIVALS_PER_S) for each in context.accepted_s]
    assert accepted == list(range(expected)), accepted


def _is_accepted(context, limit_s, expected_s, at_s):
    now_s = BEGAN_S + at_s
    return drain.admits(context.schedule, now_s, now_s + limit_s, expected_s)


@behave.then(
    'a stream of {limit_s:g} s that is expected to take {expected_s:g} s is '
    'accepted at {at_s:g} s'
)
def stream_accepted(context, limit_s, expected_s, at_s):
    assert _is_accepted(context, limit_s, expected_s, at_s)


@behave.then(
    'a stream of {limit_s:g} s that is expected to take {expected_s:g} s is '
    'refused at {at_s:g} s'
)
def stream_refused(context, limit_s, expected_s, at_s):
    assert not _is_accepted(context, limit_s, expected_s, at_s)


@behave.when('the limit becomes {limit_s:g} s at {at_s:g} s')
def limit_becomes(context, limit_s, at_s):
    changed = drain.schedule(BEGAN_S, limit_s)
    context.schedule = drain.shorten(context.schedule, changed, BEGAN_S + at_s)


@behave.then(
    'requests have answers by {answer_s:g} s and answers end by {cut_s:g} s'
)
def deadlines(context, answer_s, cut_s):
    began_s, answer_by_s, cut_by_s = context.schedule
    assert began_s == BEGAN_S
    assert abs(answer_by_s - BEGAN_S - answer_s) < 1e-6, context.schedule
    assert abs(cut_by_s - BEGAN_S - cut_s) < 1e-6, context.schedule
