"""Steps for the idle time-out of streams."""

from __future__ import annotations

import behave
from godwitvalve.generations import gaps


@behave.when('{count:d} token gaps of {gap_s:f} s are measured')
def gaps_measured(context, count, gap_s):
    context.gaps = gaps.GapTracker(gaps.GapLimits())
    _observe(context, count, gap_s)


@behave.when('{count:d} more token gaps of {gap_s:f} s are measured')
def more_gaps_measured(context, count, gap_s):
    _observe(context, count, gap_s)


def _observe(context, count, gap_s):
    for _ in range(count):
        context.gaps.observe(gap_s)


@behave.then('the idle time-out lies between {low:f} and {high:f} s')
def idle_timeout(context, low, high):
    assert low <= context.gaps.timeout_s() <= high, context.gaps.timeout_s()


@behave.then('an unmeasured idle time-out is {wanted:f} s')
def unmeasured(context, wanted):
    assert gaps.GapTracker(gaps.GapLimits()).timeout_s() == wanted
