"""Steps for fleets of stand-ins that run side by side."""

from __future__ import annotations

import pathlib
import socket
import tempfile
from unittest import mock

import behave
from standins.fleet import site as fleet_site
from standins import local_site


def _start_fleet(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    fleet = fleet_site.FleetSite(pathlib.Path(folder.name))
    context.cleanups.append(fleet.stop)
    fleet.write_row('op', 'config', fleet_site.configuration(5))
    return fleet


@behave.given('two fleets that draw the same ports')
def fleets_with_same_ports(context):
    ports = [local_site.free_port() for _ in range(5)]
    context.fleets = []
    for _ in range(2):
        with mock.patch.object(local_site, 'free_port', side_effect=ports):
            context.fleets.append(_start_fleet(context))


@behave.when('each starts an entry')
def each_starts_entry(context):
    for fleet in context.fleets:
        fleet.start_entry('entry-0', 'fd-0')


@behave.then('both entries are ready and run')
def entries_ready(context):
    for fleet in context.fleets:
        fleet_site.wait_ready(fleet, 'entry-0')
    for fleet in context.fleets:
        assert fleet.processes['entry-0'].poll() is None


@behave.given('a fleet whose address of callers is in use')
def fleet_with_used_address(context):
    context.fleet = _start_fleet(context)


@behave.when('it starts an entry')
def starts_entry(context):
    fleet = context.fleet
    with mock.patch.object(fleet, 'restart_entry'):
        fleet.start_entry('entry-0', 'fd-0')
    host, _, port = fleet.addresses['entry-0'].partition(':')
    used = socket.create_server((host, int(port)))
    context.cleanups.append(used.close)
    fleet.restart_entry('entry-0')


@behave.then('the error states the exit code and the end of the log')
def error_states_log(context):
    try:
        fleet_site.wait_ready(context.fleet, 'entry-0')
    except RuntimeError as error:
        stated = '\n'.join(error.__notes__)
    else:
        raise AssertionError('the entry is ready')
    assert 'entry-0 exited with 1' in stated, stated
    assert 'address already in use' in stated.lower(), stated
