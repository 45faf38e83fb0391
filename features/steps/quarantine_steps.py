"""Steps for segments of prompts that crash endpoints."""

from __future__ import annotations

import asyncio
import time
from unittest import mock

import behave
from features.models import crash_simulation
from godwitvalve.fleet import eras
from godwitvalve.ingress import shared_states
from godwitvalve.ingress import state_rows
from godwitvalve.platform import store as stores
from godwitvalve.quarantine import crashes
from godwitvalve.quarantine import reports
from godwitvalve.quarantine import segments
import msgspec

SERVICE = 'summaries'


@behave.given('two entries')
def two_entries(context):
    context.entries = [segments.SegmentQuarantine() for _ in range(2)]
    context.now_s = 0.0


@behave.given('two entries that each got {count:d} other prompts')
def two_used_entries(context, count):
    two_entries(context)
    for entry in context.entries:
        for number in range(count):
            entry.record_prompt(SERVICE, [f'other-{number}'])


@behave.given('two entries of which entry {number:d} takes the turns')
def turns_of_one(context, number):
    two_entries(context)
    context.entries = [
        segments.SegmentQuarantine(lambda key, own=each: own == number)
        for each in (1, 2)
    ]


@behave.when('entry {number:d} gets {count:d} prompts with "{names}"')
def gets_prompts(context, number, count, names):
    for _ in range(count):
        context.entries[number - 1].record_prompt(SERVICE, names.split())


@behave.given('"{name}" is in {count:d} of the prompts of entry {number:d}')
def common_segment(context, name, count, number):
    gets_prompts(context, number, count, name)


@behave.when(
    'endpoints 1 to {count:d} crash with {waiting:d} waiting prompts with '
    '"{common}" and one with "{name}"'
)
def busy_endpoints_crash(context, count, waiting, common, name):
    for number in range(count):
        at_s = 10.0 + number
        others = [
            crashes.Suspect(
                frozenset([common, f'{number}-{each}']), at_s - 0.5, False
            )
            for each in range(waiting)
        ]
        faulty = crashes.Suspect(
            frozenset([name, f'own-{number}']), at_s - 0.5, False
        )
        entry = context.entries[0]
        # Another entry reports its suspect after those of this one.
        entry.record_crash(SERVICE, f'e{number}', others, at_s)
        entry.record_crash(SERVICE, f'e{number}', [faulty], at_s)


@behave.when(
    'entry {number:d} is told of a crash by "{name}" with evidence of '
    '{hundredths:d} hundredths'
)
def told_of_crash(context, number, name, hundredths):
    crash = reports.CrashReport(
        SERVICE, 'e1', (name,), 0, 500, True, (hundredths,)
    )
    context.entries[number - 1].merge(
        reports.QuarantineReport([crash]), 10.0, 0.0
    )


@behave.when('these crashes are seen')
def crashes_seen(context):
    for row in context.table:
        at_s = float(row['at_s'])
        sent_s = float(row['sent_s']) if 'sent_s' in row.headings else at_s - 1
        stage = row['stage'] if 'stage' in row.headings else 'begun'
        context.entries[int(row['entry']) - 1].record_crash(
            SERVICE,
            row['endpoint'],
            [
                crashes.Suspect(
                    frozenset(prompt.split()), sent_s, stage == 'begun'
                )
                for prompt in row['segments'].split(', ')
            ],
            at_s,
        )


@behave.when(
    'an answer to "{names}" at entry {number:d} that began at {began_s:g} s '
    'goes on'
)
def answer_goes_on(context, names, number, began_s):
    context.entries[number - 1].record_sound(SERVICE, names.split(), began_s)


@behave.when('the entries exchange reports at {now_s:g} s')
def exchange_reports(context, now_s):
    sent = [
        msgspec.msgpack.decode(
            msgspec.msgpack.encode(entry.report(now_s)),
            type=reports.QuarantineReport,
        )
        for entry in context.entries
    ]
    for entry, report in zip(context.entries, reversed(sent)):
        entry.merge(report, now_s, 0.0)


@behave.when('entry {number:d} starts again')
def starts_again(context, number):
    context.entries[number - 1] = segments.SegmentQuarantine()


@behave.when('{count:d} prompts crash an endpoint each')
def many_crashes(context, count):
    for number in range(count):
        context.now_s += 1.0
        context.entries[0].record_crash(
            SERVICE,
            f'i-{number:010x}',
            [
                crashes.Suspect(
                    frozenset([f'{number:012x}', f'{number + 1000:012x}']),
                    context.now_s - 0.5,
                    True,
                )
            ],
            context.now_s,
        )


@behave.then('its report takes at most {limit:d} bytes')
def report_bytes(context, limit):
    entry = context.entries[0]
    report = entry.report(context.now_s)
    for segment in report.crashes[0].segments:
        entry.record_sound(SERVICE, [segment], context.now_s)
    content = msgspec.msgpack.encode(entry.report(context.now_s))
    assert len(content) <= limit, len(content)


@behave.when('an hour passes')
def hour_passes(context):
    context.now_s += 3600.0
    context.entries[0].expire(context.now_s)


@behave.then('entry {number:d} admits "{names}" at {now_s:g} s')
def admits(context, number, names, now_s):
    entry = context.entries[number - 1]
    assert entry.admit(SERVICE, names.split(), now_s), entry.blocks()


@behave.then('entry {number:d} admits "{names}" from {from_s:g} s')
def admits_from(context, number, names, from_s):
    entry = context.entries[number - 1]
    found_s = entry.admitted_from_s(SERVICE, names.split())
    assert abs(found_s - from_s) < 0.01, found_s


@behave.then('entry {number:d} blocks "{names}" at {now_s:g} s')
def blocks(context, number, names, now_s):
    entry = context.entries[number - 1]
    assert not entry.admit(SERVICE, names.split(), now_s), entry.blocks()


@behave.then('entry {number:d} keeps at most {limit:d} crashes')
def keeps_at_most(context, number, limit):
    entry = context.entries[number - 1]
    assert entry.crash_count() <= limit, entry.crash_count()


@behave.then('its report has at most {limit:d} segments')
def report_size(context, limit):
    report = context.entries[0].report(context.now_s)
    assert sum(len(each.segments) for each in report.crashes) <= limit
    assert report.crashes


@behave.given('a fleet of {entries:d} entries and {endpoints:d} endpoints')
def fleet(context, entries, endpoints):
    context.size = (entries, endpoints)


@behave.given('a share of {share:g} of one kind of prompt crashes endpoints')
def faulty_share(context, share):
    context.share = share


@behave.given(
    'a share of {share:g} of one kind of prompt crashes endpoints from '
    '{from_s:g} s on, {stage} the head'
)
def faulty_share_from(context, share, from_s, stage):
    context.share = share
    context.load = {
        'faulty_from_s': from_s,
        'is_headless': stage == 'before',
    }


@behave.given(
    'endpoints get {load:g} requests a second each, half of them with a '
    'segment of their own'
)
def endpoint_load(context, load):
    context.load |= {'per_endpoint_s': load, 'own_share': 0.5}


@behave.given('endpoints also crash by themselves {rate:g} times a second')
def crash_rate(context, rate):
    context.rate = rate


@behave.when('the fleet runs for {length_s:d} s with {seeds:d} seeds')
def fleet_runs(context, length_s, seeds):
    context.results = [
        crash_simulation.CrashSimulation(
            seed,
            *context.size,
            crash_simulation.Load(
                context.share, context.rate, **getattr(context, 'load', {})
            ),
        ).run(length_s)
        for seed in range(seeds)
    ]


@behave.then('at most {limit:d} endpoints crash by prompts in each run')
def crashes_by_prompts(context, limit):
    found = [each.crashes_by_prompts for each in context.results]
    assert max(found) <= limit, context.results
    assert bool(max(found)) == bool(context.share), context.results


@behave.then(
    'at most {limit:d} crashing prompts reach endpoints later than 3 s after '
    'a fifth crash'
)
def late_prompts(context, limit):
    found = [each.late_faulty_prompts for each in context.results]
    assert max(found) <= limit, context.results


@behave.then('at most {count:d} of 100 sound prompts is refused')
def few_sound_refused(context, count):
    sound = sum(each.sound for each in context.results)
    refused = sum(each.refused_sound for each in context.results)
    assert 0 < sound and refused * 100 <= sound * count, context.results


@behave.then('at most half of those that come later than 6 s after that crash')
def half_of_late_refused(context):
    for each in context.results:
        assert each.late_refused_sound * 2 <= each.late_sound, each


@behave.then('no sound prompt is refused')
def no_sound_refused(context):
    assert all(each.sound for each in context.results)
    refused = sum(each.refused_sound for each in context.results)
    assert refused == 0, context.results


class _Table:
    """One table of a store."""

    def __init__(self):
        self.content = {}
        self.writes = 0

    async def rows(self, table):
        return stores.RowsAnswer(
            [
                stores.StoredRow(key, 1, value)
                for key, value in self.content.items()
            ],
            version=1,
            has_more=False,
            now_ms=0,
        )

    async def write(self, table, key, value):
        self.writes += 1
        self.content[key] = value


def _entry_with_rows(context, is_writer):
    context.entry = segments.SegmentQuarantine()
    context.store_era = eras.StoreEra()
    context.rows = state_rows.StateRows(
        context.table_double,
        shared_states.QUARANTINE_TABLE,
        'entry-1',
        shared_states.QuarantineState(context.entry, lambda: is_writer),
        context.store_era,
    )


@behave.given('an entry that writes evidence to the store')
def writing_entry(context):
    context.table_double = _Table()
    _entry_with_rows(context, True)


@behave.given('an entry that leaves writing to others')
def silent_entry(context):
    context.table_double = _Table()
    _entry_with_rows(context, False)


@behave.when('endpoints "{names}" crash by prompts with "{parts}"')
def endpoints_crash(context, names, parts):
    now_s = time.monotonic()
    for number, name in enumerate(names.split(', ')):
        at_s = now_s - 3.0 + number
        context.entry.record_crash(
            SERVICE,
            name,
            [crashes.Suspect(frozenset(parts.split()), at_s - 0.5, True)],
            at_s,
        )


@behave.when('the entry writes its row')
def writes_row(context):
    asyncio.run(context.rows.write_changes())


@behave.when('an answer to "{parts}" goes on')
def goes_on(context, parts):
    context.entry.record_sound(SERVICE, parts.split(), time.monotonic())


@behave.when('the time of day is set back 10 s')
def set_back(context):
    context.clock_offset_s = -10.0


@behave.when('an hour passes by the clock')
def hour_by_clock(context):
    context.clock_offset_s = 3600.0


@behave.when('the row is overwritten by others')
def overwritten(context):
    context.table_double.content['entry-1'] = b'\xff{'


@behave.when('an entry starts and reads the rows')
def starts_and_reads(context):
    offset_s = getattr(context, 'clock_offset_s', 0.0)
    now_s = time.time() + offset_s
    _entry_with_rows(context, True)
    with mock.patch.object(shared_states.time, 'time', lambda: now_s):
        asyncio.run(context.rows.read())


@behave.then('it blocks "{parts}"')
def it_blocks(context, parts):
    assert not context.entry.admit(SERVICE, parts.split(), time.monotonic())


@behave.then('it admits "{parts}"')
def it_admits(context, parts):
    assert context.entry.admit(SERVICE, parts.split(), time.monotonic())


@behave.then('the store got {count:d} writes')
def store_writes(context, count):
    assert context.table_double.writes == count, context.table_double.writes


@behave.when('evidence is written in era {era:d}')
def evidence_written(context, era):
    context.store_era.record(era)
    endpoints_crash(context, 'e1, e2', 'p q')
    writes_row(context)
    assert context.table_double.writes == 1


@behave.when('the store is restored to era {era:d}')
def restored_era(context, era):
    context.store_era.record(era)


@behave.then('the same evidence is written once more')
def written_once_more(context):
    writes_row(context)
    writes_row(context)
    store_writes(context, 2)
