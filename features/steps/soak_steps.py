"""Steps for short runs of the soak test."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import tempfile
import traceback
from unittest import mock

import behave
from standins.soak import run


@behave.when('the soak runs seed {seed:d} for {seconds:d} s')
def run_seed(context, seed, seconds):
    context.seed = seed
    context.violations = asyncio.run(run.soak(seed, seconds))


@behave.when('the soak runs a fresh seed for {seconds:d} s')
def run_fresh_seed(context, seconds):
    run_seed(context, random.SystemRandom().randrange(1, 10**6), seconds)


@behave.then('no guarantee was violated')
def no_violation(context):
    assert not context.violations, (context.seed, context.violations)


@behave.when(
    'the soak runs seed {seed:d} with returns of the store for {seconds:d} s'
)
def run_seed_with_restores(context, seed, seconds):
    context.seed = seed
    context.violations = asyncio.run(run.soak(seed, seconds, True))


@behave.when(
    'the soak runs a fresh seed with returns of the store for {seconds:d} s'
)
def run_fresh_seed_with_restores(context, seconds):
    seed = random.SystemRandom().randrange(1, 10**6)
    run_seed_with_restores(context, seed, seconds)


@behave.when('an entry does not become ready in a run of seed {seed:d}')
def run_without_entry(context, seed):
    async def start(soak):
        soak.faults.append('a fault')
        (soak.site.folder / 'entry-0.log').write_text('a log line')
        raise TimeoutError('timed out: entry-0 is ready')

    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    with (
        contextlib.chdir(context.folder.name),
        mock.patch.object(run.Soak, 'start', start),
    ):
        try:
            asyncio.run(run.soak(seed, 1.0))
        except TimeoutError as error:
            context.error = ''.join(traceback.format_exception(error))


@behave.then('the error names the seed {seed:d}')
def error_names_seed(context, seed):
    assert f'\nseed {seed}\n' in context.error, context.error


@behave.then('the faults and logs of seed {seed:d} are kept')
def logs_are_kept(context, seed):
    saved = pathlib.Path(context.folder.name) / 'target' / 'soak' / str(seed)
    kept = {path.name: path.read_text() for path in saved.iterdir()}
    assert kept == {'faults.txt': 'a fault', 'entry-0.log': 'a log line'}, kept


@behave.when('one of two tasks of a run ends with an error before the others')
def task_ends(context):
    async def fail():
        raise KeyError('entry-0')

    async def end_all():
        tasks = [
            asyncio.create_task(fail()),
            asyncio.create_task(asyncio.Event().wait()),
        ]
        await asyncio.sleep(0)
        try:
            await run.end_tasks(tasks)
        except KeyError:
            return tasks
        return []

    context.tasks = asyncio.run(end_all())


@behave.then('its error is raised and the other task is cancelled')
def error_is_raised(context):
    assert [task.cancelled() for task in context.tasks] == [False, True]
