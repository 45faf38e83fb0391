"""Steps for the diagnostics of an entry process."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import time
import urllib.request

from aioprometheus import collectors
from aioprometheus import renderer
import behave
from features.doubles import entry_settings
from features.doubles import log_records
from godwitvalve.diagnostics import history as histories
from godwitvalve.diagnostics import loop_pauses
from godwitvalve.diagnostics import monitor
from godwitvalve.diagnostics import private_memory
from godwitvalve.ingress import process

PAUSE = 'process: The event loop was held up.'
HIGH_MEMORY = 'process: The process uses most of its memory.'
MB = 1024 * 1024
HELD_UP_S = 0.8


class _Thread:
    """Clocks of a thread that computes or waits for a processor."""

    def __init__(self):
        self.now_s = 1000.0
        self.thread_s = 3.0

    def run(self, computed_s, waited_s):
        self.now_s += computed_s + waited_s
        self.thread_s += computed_s


def _records(context):
    records = log_records.LogRecords()
    logger = logging.getLogger('godwitvalve.process')
    logger.addHandler(records)
    context.cleanups.append(lambda: logger.removeHandler(records))
    return records


@behave.given('an event loop whose timer is due every {period_s:g} s')
def loop_with_timer(context, period_s):
    context.period_s = period_s
    context.thread = _Thread()
    context.pauses = loop_pauses.LoopPauses(period_s)
    context.pauses.record(context.thread.now_s, context.thread.thread_s)


def _hold_up(context, computed_s, waited_s, at_s):
    thread = context.thread
    due_s = thread.now_s + context.period_s
    thread.run(0.0, at_s)
    thread.run(computed_s, waited_s)
    # The loop sleeps until the timer is due, if it is not overdue.
    thread.run(0.0, max(due_s - thread.now_s, 0.0))


@behave.when(
    'it computes for {computed_s:g} s and waits without a processor for '
    '{waited_s:g} s, {at_s:g} s after the timer'
)
def computes_and_waits(context, computed_s, waited_s, at_s):
    _hold_up(context, computed_s, waited_s, at_s)
    context.pause = context.pauses.record(
        context.thread.now_s, context.thread.thread_s
    )


@behave.then('it was held up for {held_up_s:g} s')
def was_held_up(context, held_up_s):
    assert abs(context.pause.held_up_s - held_up_s) < 1e-6, context.pause


@behave.then('it did not run for at least {not_run_s:g} s of these')
def did_not_run(context, not_run_s):
    measured_s = context.pause.not_computed_s
    assert abs(measured_s - not_run_s) < 1e-6, context.pause


@behave.when(
    'it waits without a processor for {waited_s:g} s, {at_s:g} s after the '
    'timer'
)
def waits(context, waited_s, at_s):
    _hold_up(context, 0.0, waited_s, at_s)


def _longest_s(context, now_s):
    return round(context.pauses.longest_s(now_s), 6)


@behave.then(
    'the longest recent pause is {longest_s:g} s before the timer has fired'
)
def longest_before(context, longest_s):
    assert _longest_s(context, context.thread.now_s) == longest_s


@behave.then(
    'it is {longest_s:g} s for a second after that, and {later_s:g} s later'
)
def longest_after(context, longest_s, later_s):
    thread = context.thread
    ended_s = thread.now_s
    for _ in range(4):
        context.pauses.record(thread.now_s, thread.thread_s)
        assert _longest_s(context, thread.now_s) == longest_s, thread.now_s
        thread.run(0.0, context.period_s)
    context.pauses.record(thread.now_s, thread.thread_s)
    assert _longest_s(context, ended_s + 1.0) == longest_s
    assert _longest_s(context, ended_s + 1.1) == later_s


def _monitor(context, memory_mb, used_bytes):
    context.records = _records(context)
    context.thread = _Thread()
    context.registry = collectors.Registry()
    return monitor.ProcessMonitor(
        histories.ProcessHistory(),
        context.registry,
        'entry-0',
        memory_mb,
        lambda: 7,
        lambda: context.thread.now_s,
        lambda: context.thread.thread_s,
        lambda: used_bytes,
    )


def _observe_for(context, observed, span_s, late_s):
    until_s = context.thread.now_s + span_s
    while context.thread.now_s < until_s:
        observed.observe()
        context.thread.run(0.0, monitor.PERIOD_S + late_s)


def _logged(context, message):
    return [
        each
        for each in context.records.records
        if each.getMessage() == message
    ]


@behave.given(
    'a monitor of a process whose timer fires {late_s:g} s late for '
    '{span_s:g} s'
)
def late_timer(context, late_s, span_s):
    observed = _monitor(context, 100.0, 20 * MB)
    _observe_for(context, observed, span_s, late_s)


@behave.then(
    'the pauses were logged at most once a second and at least {count:d} times'
)
def logged_at_most(context, count):
    assert count <= len(_logged(context, PAUSE)) <= 11


@behave.then(
    'each such line names the requests in flight and the private memory'
)
def names_requests(context):
    for each in _logged(context, PAUSE):
        assert each.held_up_ms == 300, each.__dict__
        assert each.in_flight == 7, each.__dict__
        assert each.private_memory_mb == 20.0, each.__dict__


@behave.given(
    'a monitor of a process that uses {used_mb:d} MB of {limit_mb:d} MB for '
    '{span_s:g} s'
)
def uses_memory(context, used_mb, limit_mb, span_s):
    observed = _monitor(context, limit_mb, used_mb * MB)
    _observe_for(context, observed, span_s, 0.0)


@behave.then('high memory was logged {count:d} times')
def high_memory_logged(context, count):
    assert len(_logged(context, HIGH_MEMORY)) == count, context.records.records


@behave.then('the gauge of private memory is {used_mb:d} MB')
def memory_gauge(context, used_mb):
    content, _ = renderer.render(context.registry, [])
    assert _metric(content, 'godwitvalve_private_memory_bytes') == (
        used_mb * MB
    )


def _metric(content, name, label=''):
    values = [
        float(line.rpartition(' ')[2])
        for line in content.decode().splitlines()
        if line.startswith(f'{name}{{') and label in line
    ]
    return values[0] if values else None


@behave.given('a process status "{status}"')
def process_status(context, status):
    context.memory_bytes = private_memory.parse(
        status.replace(';', '\n').encode()
    )


@behave.given('a process status ""')
def empty_status(context):
    context.memory_bytes = private_memory.parse(b'')


@behave.given('a process status file that does not exist')
def no_status_file(context):
    path = pathlib.Path(__file__).with_name('no-such-file')
    context.memory_bytes = private_memory.read(path)


@behave.then('its private memory is "{size}" bytes')
def private_memory_is(context, size):
    assert str(context.memory_bytes) == size, context.memory_bytes


def _entry_settings():
    return entry_settings.without_store('127.0.7.98')


def _compute():
    until_s = time.thread_time() + HELD_UP_S
    while time.thread_time() < until_s:
        pass


@behave.given('an entry whose event loop {cause} for 0.8 s')
def entry_held_up(context, cause):
    context.hold_up = {
        'computes': _compute,
        'sleeps': lambda: time.sleep(HELD_UP_S),
    }[cause]
    context.records = _records(context)


def _read_metrics(address):
    url = f'http://{address}/metrics'
    with urllib.request.urlopen(url, timeout=2) as answer:
        return answer.read()


@behave.when('that entry has run')
def entry_has_run(context):
    async def run():
        chosen = _entry_settings()
        entry = process.FleetEntry(chosen)
        task = asyncio.create_task(entry.run())
        await asyncio.sleep(0.8)
        context.records.records.clear()
        context.hold_up()
        await asyncio.sleep(0.6)
        context.metrics = await asyncio.to_thread(
            _read_metrics, chosen.control_address
        )
        entry._stop_requested.set()
        async with asyncio.timeout(5):
            await task

    asyncio.run(run())


@behave.then(
    'it logged one pause of at least {least_s:g} s, in which it "{cause}"'
)
def logged_pause(context, least_s, cause):
    (pause,) = _logged(context, PAUSE)
    least_ms = least_s * 1000
    assert pause.held_up_ms >= least_ms, pause.__dict__
    assert pause.longest_pause_ms >= least_ms, pause.__dict__
    if cause == 'computes':
        assert pause.computed_ms >= HELD_UP_S * 1000, pause.__dict__
    else:
        assert pause.not_computed_ms >= least_ms, pause.__dict__


@behave.then(
    'its metrics have one pause above {least_s:g} s and its private memory'
)
def metrics_have_pause(context, least_s):
    name = 'godwitvalve_loop_pause_seconds'
    count = _metric(context.metrics, f'{name}_count')
    short = _metric(context.metrics, f'{name}_bucket', f'le="{least_s}"')
    assert count is not None and short is not None, context.metrics
    assert count - short == 1, (count, short)
    if private_memory.STATUS_PATH.exists():
        used = _metric(context.metrics, 'godwitvalve_private_memory_bytes')
        assert used and used > MB, used


@behave.given('an entry that installed a configuration and got SIGHUP')
def changed_entry(context):
    async def run():
        entry = process.FleetEntry(_entry_settings())
        before = entry._context.history.fields(time.monotonic())
        entry._on_configuration()
        entry._reload()
        after = entry._context.history.fields(time.monotonic() + 2.0)
        return before, after

    context.before, context.after = asyncio.run(run())


@behave.then('both are in the fields of its log lines')
def both_known(context):
    for name in ('since_configuration_ms', 'since_reload_ms'):
        assert context.before[name] is None, context.before
        # Reading the settings again takes a part of it.
        assert 2000 <= context.after[name] < 4000, context.after
