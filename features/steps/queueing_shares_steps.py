"""Steps of features/queueing/shares.feature."""

from __future__ import annotations

import asyncio
import random
import time

import behave
from features.doubles import forwarding_site
from features.models import share_replay
from features.models import stream_share_replay
from godwitvalve.admission import stream_queue
from godwitvalve.queueing import fair_queue
from godwitvalve.queueing import shares
from godwitvalve.queueing import turns
import msgspec

PACED = 'paced'
OLDER = 'older'


def _use(context):
    context.now_s = 100.0
    context.reports = []
    return shares.AccountUse(
        lambda now_s: context.reports, lambda service: service == PACED
    )


@behave.given(
    '{calls:d} calls and {streams:d} streams of "{account}" run at services '
    'with and without pace'
)
def step_run(context, calls, streams, account):
    context.use = _use(context)
    for service in (PACED, OLDER):
        for number in range(calls + streams):
            context.use.begin(service, account, number >= calls)


@behave.when('a call waits at both')
def step_wait(context):
    for service in (PACED, OLDER):
        context.use.mark_full(service, context.now_s)


@behave.when('{span_s:g} s pass without a waiting call')
def step_pass(context, span_s):
    context.now_s += span_s


@behave.then('nothing is reported')
def step_no_report(context):
    assert context.use.report(context.now_s) == {}


@behave.then(
    '{calls:d} calls and {streams:d} streams of "{account}" are reported for '
    'the one with pace'
)
def step_report(context, calls, streams, account):
    seen = context.use.report(context.now_s)
    assert seen == {PACED: {account: (calls, streams)}}, seen


@behave.when(
    'two entries report {first:d} and {second:d} calls of "{account}"'
)
def step_others(context, first, second, account):
    context.reports = [
        {service: {account: (count, 0)} for service in (PACED, OLDER)}
        for count in (first, second)
    ]


@behave.then('the gauge is set to {paced:d} with pace and {own:d} without')
def step_gauge(context, paced, own):
    seen = {
        service: count
        for service, _, count in context.use.changes(context.now_s)
    }
    assert seen == {PACED: paced, OLDER: own}, seen


@behave.when('the heartbeats of the two entries are missed')
def step_missed(context):
    context.reports = []
    context.now_s += shares.SUM_VALID_S


@behave.then(
    'the use of "{account}" is {paced:d} with pace and {own:d} without'
)
def step_total(context, account, paced, own):
    seen = [
        context.use.total(service, account, context.now_s)
        for service in (PACED, OLDER)
    ]
    assert seen == [paced, own], seen


@behave.given('a queue where other entries report {count:d} calls of "{name}"')
def step_queue(context, count, name):
    context.queue = fair_queue.FairQueue(
        lambda account, now_s: count * (account == name)
    )


def _arrive(context, account, priority, ticket, remaining_s=1e6):
    return context.queue.arrive(account, priority, ticket, 1.0, remaining_s)


@behave.when('calls of "{first}" and "{second}" run and wait')
def step_mixed(context, first, second):
    for account in (second, second, first):
        _arrive(context, account, 1, account)
    context.queue.decline(second, 1, second, 1.0, 1e6)
    _arrive(context, first, 1, first)


@behave.when('a call of "{account}" arrives with a higher priority')
def step_urgent(context, account):
    _arrive(context, account, 0, f'urgent {account}')


@behave.then('the next turns go to "{names}"')
def step_turns(context, names):
    seen = []
    for number in range(len(names.split(', '))):
        ended = 'large' if number == 0 else seen[-1].split()[-1]
        seen += context.queue.finish(ended, 1.0, 0.045).started
    assert seen == names.split(', '), seen


@behave.then(
    'a call of "{small}" is expected to wait for less time than one of '
    '"{large}"'
)
def step_expected(context, small, large):
    for account in (small, large):
        for _ in range(2):
            _arrive(context, account, 1, account)
    waits = [
        _arrive(context, account, 1, account, 0.0).retry_after_s
        for account in (small, large)
    ]
    assert waits[0] < waits[1], waits


@behave.when('calls run, are declined, wait, end and are cancelled')
def step_turn_ends(context):
    async def run():
        context.use = _use(context)
        service = turns.Turns(context.use).at(PACED)
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + 9.0
        first, second = [
            await service.begin(account, 0, limit_s) for account in 'ab'
        ]
        again = asyncio.create_task(second.wait_again())
        waiting = [
            asyncio.create_task(service.begin(account, 0, limit_s))
            for account in 'abc'
        ]
        await asyncio.sleep(0)
        context.was_counted = context.use.total(PACED, 'a', 0.0) == 1
        waiting.pop().cancel()
        first.end()
        await again
        second.end()
        # This one is granted and cancelled at the same time.
        waiting[0].cancel()
        for task in waiting:
            try:
                (await task).end()
            except asyncio.CancelledError:
                pass

    asyncio.run(run())


@behave.then('no use is left')
def step_none_left(context):
    assert context.was_counted
    context.use.mark_full(PACED, context.now_s)
    assert context.use.report(context.now_s) == {}


@behave.given(
    '{count:d} accounts with a stream each at each of {entries:d} entries'
)
def step_equal(context, count, entries):
    context.reports = []
    for seed in range(entries):
        use = shares.AccountUse(
            is_stated=lambda service: True, rng=random.Random(seed)
        )
        use.mark_full(PACED, 0.0)
        for number in range(count):
            use.begin(PACED, f'account-{number:02}', True)
        context.reports.append(use.report(0.0)[PACED])


@behave.then(
    'the entries report between {least:d} and {most:d} streams of each account'
)
def step_reported_alike(context, least, most):
    seen = [
        sum(f'account-{number:02}' in each for each in context.reports)
        for number in range(24)
    ]
    assert least <= min(seen) and max(seen) <= most, seen


@behave.given(
    '{count:d} accounts of which some have long names, with 1 to {most:d} '
    'calls'
)
def step_accounts(context, count, most):
    context.use = _use(context)
    context.use.mark_full(PACED, context.now_s)
    for number in range(count):
        name = f'account-{number:02}' + 'x' * 150 * (number % 5 == 0)
        for _ in range(1 + number % most):
            context.use.begin(PACED, name)


@behave.then(
    'their report takes at most {limit:d} bytes and begins with the largest'
)
def step_bounded(context, limit):
    report = context.use.report(context.now_s)
    assert len(msgspec.msgpack.encode(report)) <= limit, report
    assert list(report[PACED])[:2] == ['account-23', 'account-22'], report


def _replay(context, part, **failures):
    context.with_reports, context.without = (
        [
            share_replay.ShareReplay(seed, has_reports, part, **failures).run()
            for seed in (1, 2, 3)
        ]
        for has_reports in (True, False)
    )


@behave.when('small accounts send {part:g} of their share, seeds 1 to 3')
def step_replay(context, part):
    _replay(context, part)


@behave.when(
    'small accounts send {part:g} of their share and half of the entries '
    'leave, seeds 1 to 3'
)
def step_replay_leave(context, part):
    _replay(context, part, leaves_s=share_replay.SPAN_S / 2)


@behave.when(
    'small accounts send {part:g} of their share and {count:d} entries are '
    'cut off, seeds 1 to 3'
)
def step_replay_cut(context, part, count):
    _replay(context, part, cut_off=count)


@behave.when(
    'streams are replayed with small accounts that send {part:g}, seeds 1 to 3'
)
def step_replay_streams(context, part):
    context.with_reports, context.without = (
        [
            stream_share_replay.StreamShareReplay(
                seed, has_reports, small_part=part
            ).run()
            for seed in (1, 2, 3)
        ]
        for has_reports in (True, False)
    )


@behave.given(
    'a {state} service where {count:d} accounts use {others:d} and '
    '"{account}" uses {own:d}'
)
def step_uses(context, state, count, others, account, own):
    context.use = _use(context)
    context.service = OLDER if state == 'older' else PACED
    uses = {chr(ord('b') + number): (0, others) for number in range(count)}
    context.reports = [{context.service: {account: (0, own), **uses}}]
    if state != 'free':
        context.use.mark_full(context.service, context.now_s)


@behave.then('the relative use of "{account}" is {relative:g}')
def step_relative(context, account, relative):
    seen = context.use.relative_use(context.service, account, context.now_s)
    assert seen == relative, seen


@behave.given(
    'streams of "{first}" and "{second}" wait at the entry and {others:d} at '
    'others'
)
def step_streams_wait(context, first, second, others):
    context.others = others
    context.streams = stream_queue.StreamQueue(PACED, context.use)
    for by_s, account in enumerate((first, second)):
        waiting = stream_queue.Waiting(account, account, 1, by_s)
        context.streams.add(waiting)


def _contenders(context, account):
    waiting = stream_queue.Waiting(account, account, 1, account == 'b')
    return context.streams.contenders(waiting, context.others, context.now_s)


@behave.then('the stream of "{account}" is first and waits with 0 others')
def step_first(context, account):
    assert _contenders(context, account) == 0


@behave.then(
    'the stream of "{account}" waits with {count:d} and has half of its '
    'objective'
)
def step_above(context, account, count):
    assert _contenders(context, account) == count
    assert context.streams.bound_s(account, 1, 4.0, context.now_s) == 2.0


@behave.then(
    'at least {part:g} of their calls are in time, {gain:g} more than without '
    'reports'
)
def step_in_time(context, part, gain):
    for (seen, _, _), (other, _, _) in zip(
        context.with_reports, context.without
    ):
        assert seen >= part, context.with_reports
        assert seen >= other + gain, (context.with_reports, context.without)


@behave.then(
    'the large account has at least {part:g} of the part of the small ones'
)
def step_large(context, part):
    for small, _, large in context.with_reports:
        assert large >= part * small, context.with_reports


@behave.given('the use of the account of a stream is observed')
def step_observe(context):
    context.seen = []

    def prepare(site):
        def observe(site):
            use = site.context.account_use
            context.seen.append(use.total(forwarding_site.SERVICE, 'acme', 0))

        site.on_started.append(observe)

    context.prepare = prepare


@behave.then('its account had 1 stream while it ran and none after it')
def step_observed(context):
    use = context.site.context.account_use
    context.seen.append(use.total(forwarding_site.SERVICE, 'acme', 0))
    assert context.seen == [1, 0], context.seen


@behave.then('its service counts as full for {span_s:g} s')
def step_full(context, span_s):
    use = context.site.context.account_use
    now_s = time.monotonic()
    assert use.is_full(forwarding_site.SERVICE, now_s)
    assert not use.is_full(forwarding_site.SERVICE, now_s + span_s)
