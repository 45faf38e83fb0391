"""Steps for the start and the exit of an entry process."""

from __future__ import annotations

import os
import pathlib
import signal
import tempfile
import time

import behave
from godwitvalve.lifecycle import drain
from standins.fleet import site as fleet_site
from standins import local_site

# Share of a core that a process gets on a busy machine.
CORE_SHARE = 0.1
TIME_MARK = 'processor time '
CONFIGURATION = fleet_site.configuration(5)


def _start(context, *command, configuration=CONFIGURATION):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.fleet = fleet_site.FleetSite(pathlib.Path(folder.name), command)
    context.cleanups.append(context.fleet.stop)
    context.fleet.write_row('op', 'config', configuration)
    context.fleet.start_entry('entry-0', 'fd-0')


@behave.given('an entry that prints its processor time at its exit')
def timed_entry(context):
    _start(context, 'features.doubles.timed_exit')
    fleet_site.wait_ready(context.fleet, 'entry-0')


@behave.given('an entry that gets "{name}" at its {stage}')
def signalled_entry(context, name, stage):
    _start(context, 'features.doubles.signalled_entry', stage, name)
    if stage == 'exit':
        fleet_site.wait_ready(context.fleet, 'entry-0')


def _messages(context):
    return [line['message'] for line in context.fleet.log('entry-0')]


@behave.given('an entry without a configuration')
def entry_without_configuration(context):
    _start(context, fleet_site.ENTRY, configuration=None)
    local_site.wait_until(
        lambda: any('Registered' in each for each in _messages(context)),
        'the entry runs',
    )


@behave.then('it ended within {limit_s:g} s of the signal')
def ended_within(context, limit_s):
    taken_s = context.ended_s - context.signalled_s
    assert taken_s < limit_s, (taken_s, _messages(context))


@behave.then('it becomes ready')
def becomes_ready(context):
    fleet_site.wait_ready(context.fleet, 'entry-0')


@behave.when('the entry is asked to stop and ends')
def stop_and_end(context):
    process = context.fleet.processes['entry-0']
    context.signalled_s = time.monotonic()
    process.send_signal(signal.SIGTERM)
    _, status, usage = os.wait4(process.pid, 0)
    context.ended_s = time.monotonic()
    process.returncode = os.waitstatus_to_exitcode(status)
    context.used_s = usage.ru_utime + usage.ru_stime


@behave.then('its exit code was 0')
def exit_code(context):
    code = context.fleet.processes['entry-0'].returncode
    assert code == 0, context.fleet.log_end('entry-0')


@behave.then(
    'its exit took less processor time than a tenth of the time reserved'
)
def exit_took(context):
    lines = (context.fleet.folder / 'entry-0.log').read_text().splitlines()
    (before_s,) = [
        float(line.removeprefix(TIME_MARK))
        for line in lines
        if line.startswith(TIME_MARK)
    ]
    taken_s = context.used_s - before_s
    limit_s = drain.CUT_MARGIN_S * CORE_SHARE
    assert taken_s < limit_s, (taken_s, limit_s)
