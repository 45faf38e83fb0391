"""Steps for the filter of repeated log lines."""

from __future__ import annotations

import behave
from godwitvalve.logs import repeats

_TICKS_PER_S = 5


@behave.given(
    'a filter of repeated lines with a period of {period_s:g} s and '
    '{keys:d} keys'
)
def repeat_filter(context, period_s, keys):
    context.filter = repeats.RepeatFilter(period_s, keys)
    context.logged = []


def _occur(context, keys, span_s):
    for tick in range(int(span_s * _TICKS_PER_S)):
        now_s = tick / _TICKS_PER_S
        context.logged += [
            (key, now_s) for key in keys if context.filter.admits(key, now_s)
        ]


@behave.when('"{key}" occurs every 0.2 s for {span_s:g} s')
def occurs(context, key, span_s):
    _occur(context, [key], span_s)


@behave.when('{count:d} conditions occur every 0.2 s for {span_s:g} s')
def many_occur(context, count, span_s):
    _occur(context, [f'row {number}' for number in range(count)], span_s)


@behave.then('"{key}" was logged at 0 s, 60 s and 120 s')
def logged_at(context, key):
    assert context.logged == [(key, 0.0), (key, 60.0), (key, 120.0)]


@behave.then('{count:d} lines were logged')
def logged_count(context, count):
    assert len(context.logged) == count, len(context.logged)


@behave.then('the filter keeps {count:d} keys')
def kept_keys(context, count):
    assert len(context.filter._admitted_s) == count
