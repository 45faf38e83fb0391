"""Steps for the supervision of background tasks."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import tempfile
import urllib.error
import urllib.request

from unittest import mock

import behave
from features.doubles import entry_settings
from features.doubles import log_records
from godwitvalve.configuration import refresher
from godwitvalve.entry import instance_watch
from godwitvalve.entry import order_watch
from godwitvalve.entry import process as entry_process
from godwitvalve.ingress import process
from godwitvalve.lifecycle import supervision
from godwitvalve.logs import setup as logs
from godwitvalve.settings import load as settings_load
from standins import local_site


class _Replay:
    """Runs of a task that end one after the other, in simulated time."""

    def __init__(self, *runs):
        self.pauses_s = []
        self.count = 0
        self._runs = runs
        self._now_s = 0.0

    async def work(self):
        if self.count == len(self._runs):
            await asyncio.sleep(3600)
        run = self._runs[self.count]
        self.count += 1
        self._now_s += await run()

    async def sleep(self, pause_s):
        self.pauses_s.append(pause_s)
        self._now_s += pause_s
        await asyncio.sleep(0)

    def clock_s(self):
        return self._now_s

    def fail_after(self, span_s):
        async def run():
            self._now_s += span_s
            raise ValueError('odd')

        return run


@behave.given('a background task that fails after "{spans_s}" s')
def failing_task(context, spans_s):
    context.replay = _Replay()
    context.replay._runs = [
        context.replay.fail_after(float(each)) for each in spans_s.split(', ')
    ]


@behave.given(
    'a background task that returns once and is cancelled from within once'
)
def ending_task(context):
    async def returns():
        return 0.0

    async def is_cancelled():
        raise asyncio.CancelledError

    context.replay = _Replay(returns, is_cancelled, returns)


@behave.given('a background task that runs until it is cancelled')
def endless_task(context):
    context.replay = _Replay()


def _recurse():
    _recurse()


@behave.given('a background task that fails {count:d} times by a recursion')
def recursing_task(context, count):
    async def recurses():
        _recurse()

    context.replay = _Replay(*[recurses] * count)


def _supervise(context, work):
    """Return the supervision of a task that logs to the kept lines."""
    context.log = log_records.LogRecords()
    logger = logging.getLogger('godwitvalve.supervision test')
    logger.addHandler(context.log)
    context.cleanups.append(lambda: logger.removeHandler(context.log))
    replay = context.replay
    return supervision.supervise(
        'work',
        work,
        supervision.FailureLog(logs.get('supervision test')),
        replay.sleep,
        replay.clock_s,
    )


@behave.when('it is supervised')
def supervised(context):
    all_ran = asyncio.Event()

    async def work():
        if context.replay.count == len(context.replay._runs):
            all_ran.set()
        await context.replay.work()

    async def run():
        task = asyncio.create_task(_supervise(context, work))
        async with asyncio.timeout(10):
            await all_ran.wait()
        task.cancel()
        await asyncio.wait({task})

    asyncio.run(run())


@behave.when('its supervision is cancelled')
def supervision_cancelled(context):
    async def run():
        task = asyncio.create_task(_supervise(context, context.replay.work))
        await asyncio.sleep(0.01)
        task.cancel()
        async with asyncio.timeout(1):
            await asyncio.wait({task})
        context.was_cancelled = task.cancelled()

    asyncio.run(run())


@behave.then('it has ended')
def has_ended(context):
    assert context.was_cancelled


@behave.then('the pauses before its restarts are at most "{limits_s}" s')
def pauses(context, limits_s):
    context.limits_s = [float(each) for each in limits_s.split(', ')]
    measured = context.replay.pauses_s
    assert len(measured) == len(context.limits_s), measured
    assert all(
        pause_s <= limit_s
        for pause_s, limit_s in zip(measured, context.limits_s)
    ), measured


@behave.then('they are at least half as long')
def pauses_long_enough(context):
    assert all(
        pause_s >= limit_s / 2
        for pause_s, limit_s in zip(context.replay.pauses_s, context.limits_s)
    ), context.replay.pauses_s


@behave.then('it ran {count:d} times')
def ran_times(context, count):
    assert context.replay.count == count


@behave.then(
    'the log has {count:d} line with a traceback of at most {limit:d} '
    'characters'
)
def logged_traceback(context, count, limit):
    records = context.log.records
    assert len(records) == count, len(records)
    for record in records:
        assert '_recurse()' in record.traceback
        assert 'RecursionError' in record.traceback
        assert len(record.traceback) <= limit, len(record.traceback)


def _raise(*arguments):
    raise LookupError('odd')


async def _raise_in_task():
    _raise()


@behave.given('an entry whose "{work}" raises an exception')
def failing_entry(context, work):
    context.entry_settings = entry_settings.without_store('127.0.7.99')
    context.failing_work = work


def _inject(entry, work):
    match work:
        case 'heartbeats':
            entry._gossip.run = _raise_in_task
        case 'maintenance step':
            entry._resize_retry_budget = _raise
        case 'announcement':
            entry._gossip.send_heartbeat = _raise


def _ready_status(address):
    try:
        with urllib.request.urlopen(f'http://{address}/readyz', timeout=2):
            return 200
    except urllib.error.HTTPError as error:
        return error.code


@behave.when('the entry runs for {span_s:g} s')
def entry_runs(context, span_s):
    async def run():
        entry = process.FleetEntry(context.entry_settings)
        _inject(entry, context.failing_work)
        task = asyncio.create_task(entry.run())
        await asyncio.sleep(span_s)
        context.had_ended = task.done()
        context.lifecycle_state = entry._lifecycle.state
        if not context.had_ended:
            context.ready_status = await asyncio.to_thread(
                _ready_status, context.entry_settings.readiness_address
            )
        entry._stop_requested.set()
        async with asyncio.timeout(5):
            await asyncio.wait({task})
        context.end_error = task.exception()

    asyncio.run(run())


@behave.then('it still answers and has not begun to drain')
def still_answers(context):
    assert not context.had_ended
    assert context.lifecycle_state == 'starting', context.lifecycle_state
    # No configuration was read.
    assert context.ready_status == 503


@behave.then('it ends when it is asked to stop')
def ends_on_request(context):
    assert context.end_error is None, repr(context.end_error)


OWN_WORK = {
    'configuration': (refresher.Refresher, 'poll_once'),
    'orders': (order_watch.OrderWatch, '_step'),
    'instance list': (instance_watch.InstanceWatch, '_read_list'),
}


@behave.given(
    'an entry of the own interface whose "{work}" raises an exception'
)
def failing_own_entry(context, work):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.site = local_site.LocalSite(pathlib.Path(folder.name))
    context.cleanups.append(context.site.stop)
    context.site.start_platform()
    # Only the settings are needed; the entry runs in this process.
    with mock.patch.object(context.site, '_spawn') as spawn:
        spawn.return_value.address = ''
        context.site.start_entry('entry-0', 'fd-0')
    owner, name = OWN_WORK[work]
    patch = mock.patch.object(owner, name, _raise)
    patch.start()
    context.cleanups.append(patch.stop)


@behave.when('that entry runs for {span_s:g} s')
def own_entry_runs(context, span_s):
    path = context.site.folder / 'entry-0.json5'
    loaded = settings_load.load(str(path))
    processes = []

    class Recorded(entry_process.EntryProcess):
        def __init__(self, *arguments):
            super().__init__(*arguments)
            processes.append(self)

    async def run():
        with mock.patch.object(entry_process, 'EntryProcess', Recorded):
            task = asyncio.create_task(entry_process.serve(loaded))
            await asyncio.sleep(span_s)
        context.had_ended = task.done()
        (entry,) = processes
        context.lifecycle_state = entry.context.lifecycle.state
        entry._stopping.set()
        async with asyncio.timeout(5):
            await asyncio.wait({task})
        context.end_error = task.exception()

    asyncio.run(run())


@behave.then('it is serving and has not begun to drain')
def is_serving(context):
    assert not context.had_ended
    assert context.lifecycle_state in ('starting', 'serving')
