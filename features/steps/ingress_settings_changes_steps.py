"""Steps for the decisions on settings that change."""

from __future__ import annotations

import behave
from godwitvalve.ingress import settings_changes
from godwitvalve.platform import settings
import msgspec

ADDRESS = '127.0.7.1:4000'
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
