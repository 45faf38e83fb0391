"""Steps for evidence, share, judgement and verdicts of moves."""

from __future__ import annotations

import asyncio
import collections
import itertools
import math
import random

import behave
from bench import memory_tables
from bench import move_runs
from bench import moves
from bench import sites
from godwitvalve.moves import betting
from godwitvalve.moves import blocks
from godwitvalve.moves import choice
from godwitvalve.moves import evidence
from godwitvalve.moves import evidence_rows
from godwitvalve.moves import findings
from godwitvalve.moves import latency_limits
from godwitvalve.moves import monitoring
from godwitvalve.moves import move
from godwitvalve.moves import share
from godwitvalve.moves import verdict_rows
from godwitvalve.moves import verdicts
from godwitvalve.routing import endpoint
from godwitvalve.store import port
import hypothesis
from hypothesis import strategies
import msgpack

START_S = 1_000_000.0
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=80, database=None
)
MOVE_ID = 'move-1'


def _key(route='/a', domain='fd-0', name='v2-0', version='v2', share_class=0):
    return evidence_rows.CellKey(
        'service', version, route, domain, name, share_class
    )


def _cells(window):
    return {
        bucket: collections.Counter(window.cells(bucket))
        for bucket in window.buckets()
        if window.cells(bucket)
    }


_REPORT = strategies.builds(
    evidence_rows.EvidenceReport,
    strategies.sampled_from(['a', 'b']),
    strategies.integers(1, 2),
    strategies.integers(1, 6),
    strategies.integers(0, 3).map(
        lambda bucket: (
            evidence_rows.BucketRow(
                bucket, (evidence_rows.CellRow(_key(), evidence_rows.Cell()),)
            ),
        )
    ),
)


def _numbered(reports):
    """Give equal contents to reports that have the same sequence number."""
    numbered = []
    for report in reports:
        count = ord(report.origin) % 7 + report.incarnation
        cell = evidence_rows.Cell(report.sequence + count, report.sequence)
        rows = tuple(
            evidence_rows.BucketRow(
                row.bucket, (evidence_rows.CellRow(_key(), cell),)
            )
            for row in report.buckets
        )
        numbered.append(report._replace(buckets=rows))
    return numbered


@behave.then('evidence reports in any order and repeated give the same cells')
def merge_is_commutative(context):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(_REPORT, max_size=8).map(_numbered),
        strategies.randoms(use_true_random=False),
    )
    def check(reports, rng):
        one = evidence.EvidenceWindow('me', 1)
        other = evidence.EvidenceWindow('me', 1)
        for report in reports:
            one.merge(report)
        shuffled = reports + reports
        rng.shuffle(shuffled)
        for report in shuffled:
            other.merge(report)
        assert _cells(one) == _cells(other)

    check()


@behave.given('an evidence report and a newer one of the same origin')
def two_reports(context):
    window = evidence.EvidenceWindow('other', 1)
    window.record(_key(), START_S, failed=False)
    context.older = window.report(START_S)
    window.record(_key(), START_S, failed=True)
    context.newer = window.report(START_S)


@behave.when(
    'an evidence window merges the newer report and then the older one'
)
def merge_newer_first(context):
    context.window = evidence.EvidenceWindow('me', 1)
    context.window.merge(context.newer)
    context.window.merge(context.older)


@behave.then('the evidence window holds the counts of the newer report')
def holds_newer(context):
    found = context.window.cells(evidence_rows.bucket_of(START_S))
    assert found == [(_key(), evidence_rows.Cell(2, 1))], found


@behave.when(
    'an evidence window records {buckets:d} buckets and {n:d} routes in one'
)
def record_much(context, buckets, n):
    context.window = evidence.EvidenceWindow('me', 1)
    for index in range(buckets):
        context.last_s = START_S + index * evidence_rows.BUCKET_S
        context.window.record(_key(), context.last_s, failed=False)
    for index in range(n):
        key = _key(route=str(index))
        context.window.record(key, context.last_s, failed=False)


@behave.then(
    'the evidence window holds at most {n:d} buckets and {m:d} cells each'
)
def window_is_bounded(context, n, m):
    assert len(context.window.buckets()) <= n
    for bucket in context.window.buckets():
        assert len(context.window.cells(bucket)) <= m
    assert context.window.dropped_cells > 0


@behave.then('its report holds at most {n:d} cells and is decoded unchanged')
def report_is_bounded(context, n):
    report = context.window.report(context.last_s)
    assert 0 < sum(len(row.cells) for row in report.buckets) <= n
    raw = msgpack.unpackb(msgpack.packb(report))
    assert evidence_rows.report_from_wire(raw) == report


@behave.then('malformed evidence reports raise a value error')
def malformed_reports(context):
    for raw in (None, [], ['a', 1, 1, [[1]]], ['a', 'x', 1, []], [1, 2]):
        try:
            evidence_rows.report_from_wire(raw)
        except ValueError:
            continue
        raise AssertionError(raw)


_OUTCOME = strategies.tuples(
    strategies.integers(0, 2),
    strategies.integers(0, 5),
    strategies.sampled_from(['v1', 'v2']),
    strategies.sampled_from(['/a', '/b']),
    strategies.integers(0, 2),
    strategies.booleans(),
)


@behave.then('the events that a monitor compares agree with a naive recount')
def sums_agree(context):
    moving = move.Move('service', 'v1', 'v2', 'm', START_S, START_S + 600)

    @SETTINGS
    @hypothesis.given(strategies.lists(_OUTCOME, max_size=60))
    def check(outcomes):
        windows = [evidence.EvidenceWindow(f'e{i}', 1) for i in range(3)]
        for entry, second, version, route, place, failed in outcomes:
            key = _key(route, f'fd-{place}', f'{version}-{place}', version)
            now = START_S + second
            windows[entry].record(key, now, failed=failed)
        reports = [window.report(START_S + 5.5) for window in windows]
        for second in range(6):
            reports += [window.report(START_S + second) for window in windows]
        for report in reports:
            windows[0].merge(report)
        monitor = monitoring.MoveMonitor(moving, 2, START_S)
        block = blocks.Block(0, evidence_rows.bucket_of(START_S))
        limits = latency_limits.LatencyLimits()
        for bucket in windows[0].buckets():
            for key, cell in windows[0].cells(bucket):
                block.add(key, cell, key.version == 'v2', limits)
        for route in ('', '/a', '/b'):
            kind = blocks.Kind(blocks.FAILED, route)
            assert block.counts(kind) == _recount(outcomes, route, None)
            for place in range(3):
                suspect = blocks.Suspect(f'v2-{place}', '')
                assert block.counts(kind, suspect) == _recount(
                    outcomes, route, place
                )
        monitor.advance(windows[0], START_S + 60)
        assert monitor.new_attempts == sum(o[2] == 'v2' for o in outcomes)

    check()


def _recount(outcomes, route, excluded):
    counted = [
        outcome
        for outcome in outcomes
        if not (outcome[2] == 'v2' and outcome[4] == excluded)
    ]
    events = [o for o in counted if o[5] and route in ('', o[3])]
    return blocks.Counts(
        sum(o[2] == 'v2' for o in counted),
        sum(o[2] == 'v1' for o in counted),
        sum(o[2] == 'v2' for o in events),
        len(events),
    )


@behave.then('the mean e-value over all draws without replacement is one')
def mean_is_one(context):
    for new, old, events in itertools.product(
        (1, 3, 8), (1, 5, 20), (1, 4, 9)
    ):
        if events > new + old:
            continue
        for ratio in (6.0, 80.0):
            mean = sum(
                math.comb(new, k)
                * math.comb(old, events - k)
                / math.comb(new + old, events)
                * math.exp(betting.log_e_value(new, old, k, events, ratio))
                for k in range(max(0, events - old), min(new, events) + 1)
            )
            assert abs(mean - 1) < 1e-9, (new, old, events, mean)


@behave.when('{runs:d} good versions are tested with many starts')
def bet_against_good(context, runs):
    rng = random.Random(7)
    context.greatest = []
    for _ in range(runs):
        wealth = betting.Wealth((6.0, 80.0), 20)
        greatest = 0.0
        for step in range(150):
            failing = 0.5 if step % 40 < 3 else 0.02
            new = sum(rng.random() < failing for _ in range(4))
            old = sum(rng.random() < failing for _ in range(6))
            start = betting.StartPoint(step // 5, step // 40)
            if new + old:
                wealth.multiply(start, 4, 6, new, new + old)
            greatest = max(greatest, wealth.value)
        context.greatest.append(greatest)


@behave.then('at most {most:d} of them ever pass an e-value of {limit:d}')
def seldom_passed(context, most, limit):
    passed = sum(value >= limit for value in context.greatest)
    assert passed <= most, passed


def _finding(fails):
    """Return a finding on 200 blocks.

    :param fails: whether the new version fails in place 0, 1 or 2.
    """
    kind = blocks.Kind(blocks.FAILED, '')
    found = findings.Finding(kind, 40, 500.0)
    limits = latency_limits.LatencyLimits()
    history = []
    for step in range(200):
        block = blocks.Block(0, step)
        place = step % 3
        for version, count in (('v2', 3), ('v1', 9)):
            failures = count if version == 'v2' and fails(place) else 0
            key = _key('/a', f'fd-{place}', f'{version}-{place}', version)
            block.add(
                key,
                evidence_rows.Cell(count, failures),
                version == 'v2',
                limits,
            )
        record = findings.ClosedBlock(betting.StartPoint(step // 30, 0), block)
        found.add(record, history, {'fd-0', 'fd-1', 'fd-2'})
        history.append(record)
    return found


@behave.given('a new version that fails on one endpoint of three')
@behave.given('a new version that fails in one failure domain of three')
def failures_in_one_place(context):
    context.finding = _finding(lambda place: place == 1)


@behave.given('a new version that fails in all three failure domains')
def failures_everywhere(context):
    context.finding = _finding(lambda place: True)


@behave.then('the finding is above its limit in total but is not conclusive')
def inconclusive(context):
    assert context.finding.e_value >= context.finding.limit
    assert not context.finding.is_conclusive(single=False)


@behave.then('the finding is conclusive')
def conclusive(context):
    assert context.finding.is_conclusive(single=False)


@behave.given('a move of {replicas:d} replicas that lasts {length_s:d} s')
def planned_move(context, replicas, length_s):
    context.replicas = replicas
    context.moving = move.Move(
        'service', 'v1', 'v2', MOVE_ID, START_S, START_S + length_s
    )
    context.endpoints = [
        endpoint.Endpoint(f'e{i}', '', f'fd-{i % 4}', 'service', 'v2', False)
        for i in range(replicas)
    ]


def _plan(context, after_s, verdict=move.Verdict.MOVING):
    return share.plan_share(
        context.moving,
        context.endpoints,
        context.replicas,
        monitoring.MoveMonitor(context.moving, 10, START_S),
        START_S + after_s,
        verdict,
    )


@behave.then(
    'its mean share in the first {part:d} in 100 of the time is at most '
    '{most:g}'
)
def small_at_first(context, part, most):
    end = context.moving.done_by_wall_s - START_S
    seconds = range(int(end * part / 100))
    shares = [_plan(context, second).share for second in seconds]
    assert 0 < sum(shares) / len(shares) <= most
    for second in range(20, len(shares)):
        assert sum(shares[:second]) / second <= most, second


@behave.then('its share at {part:d} in 100 of the time is 1')
def full_share_at_last(context, part):
    end = context.moving.done_by_wall_s - START_S
    assert _plan(context, end * part / 100).share == 1.0


@behave.then(
    'some second of the first {n:d} s gives one replica a share of {wanted:g}'
)
def full_load(context, n, wanted):
    plans = [_plan(context, second) for second in range(n)]
    assert any(
        plan.share == wanted and len(plan.replicas) == 1 for plan in plans
    )


@behave.then('each of its endpoints is a canary in the first {n:d} s')
def all_are_canaries(context, n):
    canaries = {
        name for second in range(n) for name in _plan(context, second).replicas
    }
    assert canaries == {one.endpoint_id for one in context.endpoints}


@behave.then('a request of the move gets the same version at each attempt')
def same_version(context):
    for index in range(100):
        hashes = {choice.request_hash('a', b'%d' % index) for _ in range(3)}
        assert len(hashes) == 1
        versions = {
            choice.choose_version(context.moving, 0.3, value)
            for value in hashes
        }
        assert len(versions) == 1


def _versions(context, wanted):
    return [
        choice.choose_version(
            context.moving, wanted, choice.request_hash('a', b'%d' % index)
        )
        for index in range(10000)
    ]


@behave.then(
    'a share of {wanted:g} gives the new version {part:g} of 10000 requests'
)
def share_is_kept(context, wanted, part):
    found = _versions(context, wanted).count('v2') / 10000
    assert abs(found - part) < 0.015, found


@behave.then(
    'a request that has the new version keeps it when the share grows'
)
def share_only_adds(context):
    for before, after in zip(_versions(context, 0.3), _versions(context, 0.6)):
        assert before == 'v1' or after == 'v2'


@behave.then('its share after the verdict "{verdict}" is {wanted:g}')
def share_after(context, verdict, wanted):
    for after_s in (0, 100, 600, 2000):
        plan = _plan(context, after_s, move.Verdict[verdict])
        assert plan.share == wanted


class LossyTables(memory_tables.MemoryTables):
    """Store that applies one write and loses its answer."""

    def __init__(self):
        super().__init__()
        self.losses = 1

    async def compare_and_set(self, table, key, expected_version, value):
        outcome = await super().compare_and_set(
            table, key, expected_version, value
        )
        if self.losses and isinstance(outcome, port.Written):
            self.losses -= 1
            return port.WriteUnknown('answer lost')
        return outcome


def _manager(context, name):
    return verdicts.VerdictManager(context.tables, name)


@behave.given('an entry that stores verdicts in a store that is {state}')
def entry_and_store(context, state):
    context.tables = memory_tables.MemoryTables()
    context.tables.down = state == 'down'
    context.one = _manager(context, 'one')


@behave.given('an entry that stores verdicts in a store that loses one answer')
def entry_and_lossy_store(context):
    context.tables = LossyTables()
    context.one = _manager(context, 'one')


@behave.given('two entries that store verdicts in one store')
def two_entries(context):
    context.tables = memory_tables.MemoryTables()
    context.one = _manager(context, 'one')
    context.two = _manager(context, 'two')


@behave.when('it takes the version back')
def take_back(context):
    assert context.one.decide(MOVE_ID, move.TakeBack('it fails'), START_S)
    asyncio.run(context.one.flush(0.0))


@behave.when('it takes the version back and flushes')
def take_back_and_flush(context):
    take_back(context)
    asyncio.run(context.one.flush(10.0))


@behave.when('the store is available again and verdicts are flushed')
def store_returns(context):
    context.tables.down = False
    assert asyncio.run(context.one.flush(10.0))


@behave.then('its verdict is "{verdict}" and not stored yet')
def verdict_is_pending(context, verdict):
    assert context.one.verdict(MOVE_ID) is move.Verdict[verdict]
    assert context.one.pending() == [MOVE_ID]


@behave.then('no verdict remains to be stored')
def none_remains(context):
    assert not context.one.pending()


def _stored(context):
    row = asyncio.run(context.tables.read(verdicts.TABLE, MOVE_ID))
    return row.version, verdict_rows.decode(row.value)


@behave.then('the stored verdict is "{verdict}" with version {version:d}')
def stored_with_version(context, verdict, version):
    assert _stored(context)[0] == version
    assert _stored(context)[1].verdict == move.Verdict[verdict]


@behave.then('the stored verdict is "{verdict}"')
def stored_verdict(context, verdict):
    assert _stored(context)[1].verdict == move.Verdict[verdict]


@behave.when('one finds the move done while the other takes it back')
def race(context):
    context.one.decide(MOVE_ID, move.Done('no worse'), START_S)
    context.two.decide(MOVE_ID, move.TakeBack('it fails'), START_S + 1)

    async def flush_both():
        await asyncio.gather(context.one.flush(0.0), context.two.flush(0.0))
        await asyncio.gather(
            context.one.refresh(MOVE_ID, 1.0),
            context.two.refresh(MOVE_ID, 1.0),
        )

    asyncio.run(flush_both())


@behave.when('one takes the move back and the other then finds it done')
def done_after_taken_back(context):
    context.two.decide(MOVE_ID, move.TakeBack('it fails'), START_S)
    asyncio.run(context.two.flush(0.0))
    context.one.decide(MOVE_ID, move.Done('no worse'), START_S + 1)
    asyncio.run(context.one.flush(0.0))


@behave.then('both entries and the store have the verdict "{verdict}"')
def all_have(context, verdict):
    wanted = move.Verdict[verdict]
    assert context.one.verdict(MOVE_ID) is wanted
    assert context.two.verdict(MOVE_ID) is wanted
    assert _stored(context)[1].verdict == wanted


_ROW = strategies.builds(
    verdict_rows.VerdictRow,
    strategies.just(MOVE_ID),
    strategies.sampled_from(list(move.Verdict)),
    strategies.sampled_from(['x', 'y']),
    strategies.sampled_from(['a', 'b']),
    strategies.integers(0, 3).map(float),
)


@behave.then('merging verdicts is commutative, associative and idempotent')
def verdicts_merge(context):
    stronger = verdict_rows.stronger

    @SETTINGS
    @hypothesis.given(_ROW, _ROW, _ROW)
    def check(a, b, c):
        assert stronger(a, b) == stronger(b, a)
        assert stronger(a, a) == a
        assert stronger(stronger(a, b), c) == stronger(a, stronger(b, c))
        assert stronger(a, b).verdict == max(a.verdict, b.verdict)

    check()


@behave.when('it refreshes the verdict at {now_s:d} s')
def refresh(context, now_s):
    assert asyncio.run(context.one.refresh(MOVE_ID, float(now_s)))


@behave.then(
    'it may send to the new version at {early:d} s but not at {late:d} s'
)
def lease_ends(context, early, late):
    assert context.one.may_send(MOVE_ID, float(early))
    assert not context.one.may_send(MOVE_ID, float(late))


@behave.when('one takes the move back while the other is disconnected')
def disconnected(context):
    asyncio.run(context.two.refresh(MOVE_ID, 100.0))
    assert context.two.may_send(MOVE_ID, 101.0)
    context.one.decide(MOVE_ID, move.TakeBack('it fails'), START_S)
    asyncio.run(context.one.flush(101.0))


@behave.then(
    'the disconnected entry does not send to the version after its lease'
)
def no_send_after_lease(context):
    for now_s in range(104, 200):
        assert not context.two.may_send(MOVE_ID, float(now_s))


@behave.when('the disconnected entry can read the store again')
def connected_again(context):
    assert asyncio.run(context.two.refresh(MOVE_ID, 200.0))


@behave.then('neither entry sends to the version under this move id')
def never_sent(context):
    for manager in (context.one, context.two):
        manager.decide(MOVE_ID, move.Done('no worse'), START_S + 9)
        assert not manager.may_send(MOVE_ID, 200.0)


@behave.then('a move with another text digest may receive requests')
def other_move(context):
    other = move.move_id('service', 'v2', 'another digest')
    assert other != move.move_id('service', 'v2', 'digest')
    asyncio.run(context.two.refresh(other, 200.0))
    assert context.two.may_send(other, 200.0)


@behave.when('one takes the move back and a third entry starts')
def third_entry(context):
    context.one.decide(MOVE_ID, move.TakeBack('it fails'), START_S)
    asyncio.run(context.one.flush(0.0))
    context.three = _manager(context, 'three')


@behave.then('the third entry does not send to the version')
def third_does_not_send(context):
    assert not context.three.may_send(MOVE_ID, 0.0)
    asyncio.run(context.three.refresh(MOVE_ID, 1.0))
    assert not context.three.may_send(MOVE_ID, 1.0)


# A tenth of the length that the benchmark uses keeps the suite short.
_SMALL = tuple(
    site._replace(move_s=400.0, max_rate=8.0, min_rate=6.0)
    for site in sites.SITES
    if site.name in ('council-portal', 'lab-reservations')
)


@behave.when(
    '{count:d} seeded moves of the case "{name}" run at the small sizes'
)
def run_moves(context, count, name):
    case = next(case for case in sites.CASES if case.name == name)
    context.runs = [
        move_runs.Simulation(_SMALL[seed % len(_SMALL)], case, seed).run()
        for seed in range(count)
    ]


@behave.then('at least {least:d} of these moves are done in time')
def moves_done(context, least):
    late = [
        run
        for run in context.runs
        if run.taken_back_s is not None or not run.done_s or run.done_s > 400
    ]
    assert len(context.runs) - len(late) >= least, late


@behave.then('at least {least:d} of these moves are taken back')
def moves_taken_back(context, least):
    missed = [run for run in context.runs if not moves.taken_back(run)]
    assert len(context.runs) - len(missed) >= least, missed


@behave.then('none of these moves sent requests 3 s after the verdict')
def none_after(context):
    assert not any(run.after_verdict for run in context.runs)


class TotalOnlyMonitor(monitoring.MoveMonitor):
    """Monitor without the evidence by route."""

    def conclusive_findings(self, single):
        return [
            f for f in super().conclusive_findings(single) if not f.kind.route
        ]


@behave.given(
    'a new version that fails on a route with one percent of requests'
)
def rare_route(context):
    context.moving = move.Move(
        'service', 'v1', 'v2', MOVE_ID, START_S, START_S + 1200
    )
    rng = random.Random(3)
    context.monitors = [
        kind(context.moving, 2, START_S)
        for kind in (monitoring.MoveMonitor, TotalOnlyMonitor)
    ]
    window = evidence.EvidenceWindow('me', 1)
    context.conclusive = [0, 0]
    for second in range(600):
        now = START_S + second
        for _ in range(20):
            version = rng.choice(('v1', 'v2'))
            route = '/rare' if rng.random() < 0.01 else '/usual'
            failed = rng.random() < 0.04
            if route == '/rare':
                failed = version == 'v2'
            place = rng.randrange(4)
            key = _key(route, f'fd-{place}', f'{version}-{place}', version)
            window.record(key, now, failed=failed)
        for index, monitor in enumerate(context.monitors):
            monitor.advance(window, now)
            context.conclusive[index] += bool(
                monitor.conclusive_findings(single=False)
            )


@behave.then('evidence by route is conclusive')
def route_is_conclusive(context):
    assert context.conclusive[0]


@behave.then('evidence over all routes alone is not conclusive')
def total_is_inconclusive(context):
    assert not context.conclusive[1]


@behave.given('an old version whose requests take {old_ms:d} ms')
def old_latency(context, old_ms):
    context.limits = latency_limits.LatencyLimits()
    times = ((evidence_rows.time_bin(old_ms / 1000), 100),)
    context.limits.add('GET /', times)
    context.limits.refresh(0.0)


@behave.then(
    'a request of {new_ms:d} ms of the new version counts as {verdict}'
)
def counts_as(context, new_ms, verdict):
    times = ((evidence_rows.time_bin(new_ms / 1000), 1),)
    slow = context.limits.slow_count('GET /', times)
    assert slow == (verdict == 'slow'), slow
