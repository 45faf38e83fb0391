"""Steps for polls of the store whose answers were lost."""

from __future__ import annotations

import behave
from features.doubles import virtual_time
from features.models import poll_simulation
from godwitvalve.fleet import poll_checks
from godwitvalve.platform import store as stores

LOST_FROM_S = 20.0
CONTACT_S = 3.0
STEP_S = 0.1


def _lossy_day(context, lost_s, answer_s=0.004):
    end_s = LOST_FROM_S + lost_s
    leaves_s = end_s + CONTACT_S
    return context.day._replace(
        length_s=leaves_s + 12.0,
        answer_s=answer_s,
        lost=(LOST_FROM_S, end_s),
        # All entries poll again shortly before the second one, whose answer
        # is lost.
        changed_s=(
            LOST_FROM_S - 0.55 - answer_s,
            LOST_FROM_S + 0.01 - answer_s,
        ),
        leaves_s=leaves_s,
    )


def _simulate(context, day, **options):
    context.result = virtual_time.run(poll_simulation.simulate(day, **options))


@behave.given('{entries:d} entries in {domains:d} failure domains')
def fleet(context, entries, domains):
    context.day = poll_simulation.Day(entries, domains, 0.0)


@behave.when(
    'the store loses answers for {lost_s:g} s and takes {answer_ms:d} ms for '
    'others'
)
def loses_answers(context, lost_s, answer_ms):
    _simulate(context, _lossy_day(context, lost_s, answer_ms / 1000))


@behave.when('the store loses answers for {lost_s:g} s by the older rule')
def loses_answers_before(context, lost_s):
    _simulate(context, _lossy_day(context, lost_s), has_checks=False)


@behave.when(
    'the store loses answers for {lost_s:g} s and the first entry dies after '
    'that'
)
def loses_answers_and_dies(context, lost_s):
    day = _lossy_day(context, lost_s)
    _simulate(context, day._replace(dies_s=day.lost[1] + 0.5))


@behave.when(
    'the store loses answers for {lost_s:g} s and the first entry is cut off '
    'from it {after_s:g} s later'
)
def loses_answers_and_is_cut(context, lost_s, after_s):
    day = _lossy_day(context, lost_s)
    _simulate(context, day._replace(cut_s=day.lost[1] + after_s))


@behave.then('all entries that reach the store know it within {limit_s:g} s')
@behave.then('all entries know within {limit_s:g} s that the endpoint leaves')
def known_in_time(context, limit_s):
    assert context.result.left_after_s <= limit_s, context.result


@behave.then(
    'some entry does not know within {limit_s:g} s that the endpoint leaves'
)
def not_known_in_time(context, limit_s):
    assert context.result.left_after_s > limit_s, context.result


@behave.then('a poll was ended as "{reason}"')
def was_ended(context, reason):
    assert reason in context.result.reasons, context.result


@behave.when(
    'nothing happens for {length_s:g} s but an endpoint that changes each '
    '{period_s:d} s'
)
def quiet(context, length_s, period_s):
    day = context.day._replace(
        length_s=length_s,
        changed_s=tuple(range(period_s, int(length_s), period_s)),
        leaves_s=length_s - 5.0,
    )
    _simulate(context, day, has_checks=False)
    context.before = context.result
    _simulate(context, day)


@behave.then(
    'an entry makes {before:g} calls a second by the older rule and {after:g} '
    'now'
)
def calls(context, before, after):
    found = round(context.before.calls, 2), round(context.result.calls, 2)
    assert found == (before, after), found


@behave.then('no poll was ended')
def none_ended(context):
    assert not context.result.reasons, context.result


@behave.given(
    'a poll of {wait_s:g} s by an entry that read version {version:d}'
)
def poll(context, wait_s, version):
    context.poll = poll_checks.Poll(0.0, wait_s)
    context.checks = poll_checks.PollChecks()
    context.checks.record_read([], stores.StoreRevision(1, version))
    context.reasons = []
    context.now_s = 0.0


def _check(context):
    reason = context.checks.end_reason(context.poll, 8.0, context.now_s)
    if reason is not None:
        context.reasons.append(reason)


@behave.when('others report the row of version {version:d} for {span_s:g} s')
def others_report(context, version, span_s):
    for _ in range(round(span_s / STEP_S)):
        context.now_s += STEP_S
        context.checks.record_report(
            stores.StoreRevision(1, version), context.now_s
        )
        _check(context)


@behave.when(
    'the row of version {version:d} was reported {before_s:g} s before the '
    'poll'
)
def reported_before(context, version, before_s):
    context.checks.record_report(stores.StoreRevision(1, version), -before_s)


@behave.when('others report a newer row each 0.1 s for {span_s:g} s')
def report_newer(context, span_s):
    for step in range(round(span_s / STEP_S)):
        others_report(context, 11 + step, STEP_S)


@behave.then('the poll is ended {count}, as "{reason}" after {after_s:g} s')
@behave.then('the poll is ended {count}, as "" after {after_s:g} s')
def ended_after(context, count, after_s, reason=''):
    while context.now_s < after_s - STEP_S / 2:
        _check(context)
        context.now_s += STEP_S
    _check(context)
    ended(context, int(count.split()[0]), reason)


@behave.when('the entry reads version {version:d}')
def entry_reads(context, version):
    context.checks.record_read([], stores.StoreRevision(1, version))
    context.now_s += 1.0
    _check(context)


@behave.then('the poll is ended {count:d} time, as "{reason}"')
@behave.then('the poll is ended {count:d} times, as ""')
def ended(context, count, reason=''):
    assert context.reasons == [reason] * count, context.reasons
