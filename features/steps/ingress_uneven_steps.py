"""Steps of features/ingress/uneven_entries.feature."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import urllib.request

import behave
from features.doubles import forwarding_site
from features.doubles import ingress_site
from features.doubles import scripted_endpoint
from features.models import entry_load
from features.models import naive_directory
from godwitvalve.fleet import routes
from godwitvalve.forwarding import sent_bytes
from godwitvalve.gossip import members
from godwitvalve.ingress import directory
from godwitvalve.ingress import pressure
import msgspec
from standins.fleet import site as fleet_site
from standins import local_site

SEEDS = (1, 2, 3)
SAMPLE_S = 0.25
LISTS = 200
MB = 1024 * 1024


@behave.given('60 entries of 2.15, 1.29 and 0.387 cores')
def step_entries(context):
    context.understating = ()


@behave.given('entry {index:d} reports half of its pressure')
def step_understating(context, index):
    context.understating = (index,)


@behave.when('callers demand {demand:g} of all capacity with seeds 1, 2 and 3')
def step_replay(context, demand):
    context.results = [
        entry_load.EntryLoad(
            seed, demand, understating=context.understating
        ).run()
        for seed in SEEDS
    ]
    context.before = [
        entry_load.EntryLoad(seed, demand, is_naive=True).run()
        for seed in SEEDS
    ]


@behave.then(
    'at most {high:g} of the work is at entries above 85 %, at least '
    '{before:g} by the older rule'
)
def step_high(context, high, before):
    seen = [each.high_share for each in context.results]
    older = [each.high_share for each in context.before]
    assert max(seen) <= high and min(older) >= before, (seen, older)


@behave.then(
    'no entry is used more than {bound:g} times as much as all of them'
)
def step_bound(context, bound):
    seen = [each.imbalance() for each in context.results]
    older = [each.imbalance() for each in context.before]
    assert max(seen) <= bound, (seen, older)


@behave.given(
    '{count:d} serving entries, of which {pressed:d} is at {percent:d} %'
)
def step_records(context, count, pressed, percent):
    context.records = [
        members.Record(
            f'entry-{number}',
            1,
            1,
            members.SERVING,
            f'10.0.{number // 200}.{number % 200}:80',
            '10.0.0.1:1',
            f'fd-{number % 3}',
            1,
            pressure=percent if number < pressed else 40,
            capacity=1000,
        )
        for number in range(count)
    ]
    context.is_sized = True


@behave.given('entry {index:d} states {factor:d} times its capacity')
def step_overstating(context, index, factor):
    context.records[index] = msgspec.structs.replace(
        context.records[index], capacity=1000 * factor
    )


@behave.given('the capacity of the listing entry is {capacity}')
def step_sized(context, capacity):
    context.is_sized = capacity == 'known'


def _lists(context, own=None):
    rng = random.Random(1)
    return [
        directory.choose_addresses(own, context.records, rng, context.is_sized)
        for _ in range(LISTS)
    ]


@behave.then('its list is that of the older rule')
def step_same(context):
    rng = random.Random(1)
    assert _lists(context) == [
        naive_directory.choose_addresses(context.records, rng)
        for _ in range(LISTS)
    ]


@behave.then('only entries without pressure are listed')
def step_without_pressure(context):
    expected = {
        each.caller_address for each in context.records if each.pressure < 50
    }
    assert set().union(*_lists(context)) == expected


@behave.then('each list has at {limit} {count:d} addresses')
def step_count(context, limit, count):
    sizes = {len(set(each)) for each in _lists(context)}
    seen = min(sizes) >= count if limit == 'least' else max(sizes) <= count
    assert seen, sizes


@behave.then('an entry at 100 % lists itself')
def step_itself(context):
    own = directory.Candidate('10.0.0.9:80', 1000, 100)
    assert _lists(context, own) == [['10.0.0.9:80']] * LISTS


@behave.given(
    'a machine of {cores:g} cores, {memory:g} MB and {link:g} Mbit/s'
)
def step_machine(context, cores, memory, link):
    context.pressure = pressure.Pressure(
        pressure.Resources(cores, memory, link)
    )
    context.last = pressure.Sample(100.0, 0.0, None, 0)
    context.pressure.add(context.last)


def _advance(context, seconds, cores, memory, mbps):
    last = context.last
    context.last = pressure.Sample(
        last.now_s + seconds,
        last.processor_s + cores * seconds,
        memory,
        last.sent_bytes + round(mbps * 125_000 * seconds),
    )
    context.pressure.add(context.last)


@behave.when(
    'it uses {cores:g} cores, {memory} MB and {mbps:g} Mbit/s for '
    '{seconds:g} s'
)
def step_use(context, cores, memory, mbps, seconds):
    used = None if memory == 'none' else int(memory) * MB
    for _ in range(round(seconds / SAMPLE_S)):
        _advance(context, SAMPLE_S, cores, used, mbps)


@behave.when('it is frozen for {seconds:g} s')
def step_frozen(context, seconds):
    _advance(context, seconds, 0.0, context.last.memory_bytes, 0.0)


@behave.then('its pressure is {percent:d}')
def step_pressure(context, percent):
    assert context.pressure.percent == percent, context.pressure.percent


@behave.then('its pressure is between {least:d} and {most:d}')
def step_pressure_between(context, least, most):
    assert least <= context.pressure.percent <= most, context.pressure.percent


@behave.given('three entries, of which entry-2 has {cores:g} cores')
def step_three(context, cores):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.fleet = fleet_site.FleetSite(pathlib.Path(folder.name))
    context.cleanups.append(context.fleet.stop)
    context.fleet.write_row('op', 'config', fleet_site.configuration(5))
    for number, stated in enumerate((50.0, 50.0, cores)):
        name = f'entry-{number}'
        context.fleet.start_entry(
            name, f'fd-{number}', cpu_share=1.0, cores=stated
        )
        fleet_site.wait_ready(context.fleet, name)


@behave.then('entry-0 soon lists only entry-0 and entry-1')
def step_soon_lists(context):
    url = f'http://{context.fleet.port_address("entry-0", 2)}/resolve'
    expected = {context.fleet.addresses[f'entry-{each}'] for each in (0, 1)}

    def lists_expected():
        answer = local_site.http_json('GET', url)
        return set(answer['addresses']) == expected

    local_site.wait_until(lists_expected, 'entry-2 is left out')


@behave.then('the metrics of entry-2 show its pressure')
def step_metrics(context):
    url = f'http://{context.fleet.port_address("entry-2", 3)}/metrics'
    with urllib.request.urlopen(url, timeout=2.0) as answer:
        lines = answer.read().decode().splitlines()
    values = {
        each.partition('resource="')[2].partition('"')[0]: float(
            each.rpartition(' ')[2]
        )
        for each in lines
        if each.startswith('godwitvalve_pressure_percent{')
    }
    assert values['processor'] > directory.OVERLOADED_PERCENT, values
    assert 0 < values['memory'] < directory.OVERLOADED_PERCENT, values


@behave.when('a call with a body of {size:d} bytes is answered')
def step_call(context, size):
    async def run():
        ingress = ingress_site.IngressSite(
            [[[scripted_endpoint.answer()]]],
            forwarding_site.route(routes.RequestKind.ONCE),
        )
        async with ingress.running():
            before = sent_bytes.PROCESS.total
            result = await ingress.ask(body=bytes(size))
            context.sent = sent_bytes.PROCESS.total - before
        assert result.status == 200, result

    asyncio.run(run())


@behave.then('between {least:d} and {most:d} bytes were counted as sent')
def step_counted(context, least, most):
    assert least <= context.sent <= most, context.sent
