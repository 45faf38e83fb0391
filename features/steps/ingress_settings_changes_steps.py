"""Steps for the decisions on settings that change."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import tempfile
import types

from aiohttp import test_utils
import behave
from godwitvalve import clock
from godwitvalve.fleet import endpoints
from godwitvalve.ingress import process
from godwitvalve.ingress import settings_changes
from godwitvalve.platform import configuration
from godwitvalve.platform import endpoints as wire_endpoints
from godwitvalve.platform import settings
from godwitvalve.platform import store as stores
from godwitvalve.rollouts import orders
import msgspec

ADDRESS = '127.0.7.1:4000'
SERVICE = 'desk'
MIB = 1024 * 1024
OTHER_VALUES = {
    'peer_ports': (1, 2),
    'seed_addresses': ['127.0.7.3:4003'],
}


@behave.given('a settings file that is checked periodically')
def checked_file(context):
    context.detector = settings_changes.ChangeDetector()


@behave.when('the checks find the contents "{found}"')
def checks_find(context, found):
    states = [
        settings_changes.FileState(int(each), 0, 0, 0) if each != '0' else None
        for each in found.split()
    ]
    context.read = [
        number
        for number, state in enumerate(states, 1)
        if context.detector.is_due(state)
    ]


@behave.then('the file is read at the checks "{read}"')
def file_read(context, read):
    assert context.read == [int(each) for each in read.split()], context.read


@behave.given('settings in force')
def settings_in_force(context):
    context.settings = settings.FleetSettings(
        'entry-0',
        'fd-0',
        '127.0.7.1',
        *[ADDRESS] * 4,
        peer_ports=(4100, 4110),
        store_address='127.0.7.2:4001',
    )


def _other_value(field, value):
    if field in OTHER_VALUES:
        return OTHER_VALUES[field]
    return f'9{value}' if isinstance(value, str) else value + 1


@behave.when('"{field}" is read with another value')
def field_read(context, field):
    context.field = field
    context.value = _other_value(field, getattr(context.settings, field))
    read = msgspec.structs.replace(context.settings, **{field: context.value})
    context.update = settings_changes.update(context.settings, read)


@behave.when('the settings in force are read')
def same_read(context):
    context.update = settings_changes.update(
        context.update.settings, context.settings
    )


@behave.then('it is "{result}"')
def field_result(context, result):
    is_changed = result == 'changed'
    found = context.update
    assert found.changed == [context.field] * is_changed, found
    assert found.waits_for_restart == [context.field] * (not is_changed)
    before = getattr(context.settings, context.field)
    in_force = getattr(found.settings, context.field)
    assert in_force == (context.value if is_changed else before), in_force


@behave.then('nothing has changed')
def nothing_changed(context):
    assert context.update == settings_changes.SettingsUpdate(
        context.settings, [], []
    ), context.update


@behave.then('each field that waits for a restart is one of the settings')
def restart_fields(context):
    fields = set(settings.FleetSettings.__struct_fields__)
    assert settings.RESTART_FIELDS <= fields, settings.RESTART_FIELDS - fields


@behave.given('an entry with settings in a file')
def entry_with_file(context):
    settings_in_force(context)
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.path = pathlib.Path(folder.name) / 'settings.json'
    before = os.environ.get(settings.SETTINGS_VARIABLE)
    os.environ[settings.SETTINGS_VARIABLE] = str(context.path)
    context.cleanups.append(lambda: _restore_variable(before))
    context.settings = msgspec.structs.replace(
        context.settings,
        seed_addresses=['127.0.7.3:4003'],
        address_reuse_s=2.0,
    )
    context.entry = process.FleetEntry(context.settings)
    _add_order(context.entry, 'v1', 1)


def _restore_variable(value):
    if value is None:
        del os.environ[settings.SETTINGS_VARIABLE]
    else:
        os.environ[settings.SETTINGS_VARIABLE] = value


@behave.when('"{field}" in the file becomes {value} and the file is read')
def file_changes(context, field, value):
    context.first = {name: read(context.entry) for name, read in READ.items()}
    content = json.loads(msgspec.json.encode(context.settings))
    context.path.write_text(json.dumps(content | {field: json.loads(value)}))
    context.entry._settings_reload.read()


@behave.then('"{what}" is {after:g}, and was {before:g} at first')
def part_uses(context, what, after, before):
    assert abs(context.first[what] - before) < 1e-6, context.first
    found = READ[what](context.entry)
    assert abs(found - after) < 1e-6, found


def _add_order(entry, version, row_version):
    order = orders.RolloutOrder(SERVICE, version, 60.0, row_version)
    return entry._rollouts.add_order(order, 0.0)


def _later_slack(entry):
    later = orders.RolloutOrder('other', 'v1', 60.0, 1)
    found = entry._rollouts.add_order(later, 0.0)
    del entry._rollouts._by_service['other']
    return found.limits.slack


def _validity(entry):
    entry._lifecycle.begin_serving()
    request = test_utils.make_mocked_request('GET', '/resolve')
    answer = asyncio.run(entry._handle_resolve(request))
    return json.loads(answer.body)['ttl_s']


def _successor_searches(entry):
    """Return how many searches ask for the store, 5 s after the activity."""
    asked = []

    async def rows(table, timeout_s):
        asked.append(table)
        raise stores.StoreUnavailable

    async def search():
        entry._store.rows = rows
        entry._state.registry.is_store_unavailable = False
        endpoint = endpoints.FleetEndpoint(
            'p0', SERVICE, ADDRESS, 'fd-0', 'v1', 8, False, 1
        )
        entry._successors.begin(endpoint, clock.since_boot_s() - 5.0)
        await asyncio.sleep(0.01)
        entry._successors.stop()

    asyncio.run(search())
    return len(asked)


def _earned_retries(entry):
    budget = entry._context.budget
    budget.resize(100.0, 0.0)
    while budget.try_retry(SERVICE):
        pass
    before = budget.balance(SERVICE)
    for _ in range(10):
        budget.record_first_attempt(SERVICE)
    return budget.balance(SERVICE) - before


def _burst(entry):
    entry._resize_retry_budget()
    return entry._context.budget.balance('idle')


class Holder:
    """Owner of an answer of 1 MiB."""

    is_aborted = False

    def abort_for_memory(self):
        """Note that the answer is given up."""
        self.is_aborted = True


def _held_mib(entry):
    memory = entry._context.pool.memory
    holders = [Holder() for _ in range(32)]
    for holder in holders:
        memory.hold(holder, MIB)
    held = [each for each in holders if not each.is_aborted]
    for holder in held:
        memory.release(holder)
    return len(held)


def _seed_count(entry):
    sent = []
    transport = types.SimpleNamespace(
        sendto=lambda content, address: sent.append(address)
    )
    entry._gossip.connection_made(transport)
    entry._gossip.send_to_seeds()
    entry._gossip._transport = None
    return len(sent)


READ = {
    'validity': _validity,
    'successor searches': _successor_searches,
    'retries of ten requests': _earned_retries,
    'burst': _burst,
    'share of a roll-out': lambda entry: _add_order(entry, 'v1', 1).limits[0],
    'slack of a roll-out': lambda entry: _add_order(entry, 'v1', 1).limits[1],
    'slack of a later roll-out': _later_slack,
    'held MiB': _held_mib,
    'wait for configurations': lambda entry: entry._sources.wait_s(
        configuration.TABLE
    ),
    'wait for endpoints': lambda entry: entry._sources.wait_s(
        wire_endpoints.TABLE
    ),
    'seeds': _seed_count,
    'port of the store': lambda entry: int(
        entry._store._base_url.rpartition(':')[2]
    ),
}
