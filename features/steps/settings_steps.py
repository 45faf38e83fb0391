"""Steps for the settings file."""

from __future__ import annotations

import json
import pathlib
import tempfile

import behave
from godwitvalve.settings import load


@behave.given('a valid settings file')
def valid_settings(context):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    for name in ('peer.key', 'resume.key'):
        (context.folder / name).write_bytes(b'k' * 32)
    context.raw = {
        'instance_id': 'entry-1',
        'failure_domain': 'fd-1',
        'listen_address': '127.0.0.1:7000',
        'peer_address': '127.0.0.1:7001',
        'platform_url': 'http://127.0.0.1:7002',
        'peer_key_file': str(context.folder / 'peer.key'),
        'resume_key_file': str(context.folder / 'resume.key'),
    }


@behave.given('its key "{key}" is set to {value}')
def set_key(context, key, value):
    context.raw[key] = json.loads(value)


@behave.given('its peer key file holds "{content}"')
def set_peer_key(context, content):
    (context.folder / 'peer.key').write_text(content)


@behave.when('the settings are loaded')
def load_settings(context):
    path = context.folder / 'entry.json5'
    path.write_text('// settings of a test\n' + json.dumps(context.raw))
    context.errors = []
    try:
        context.loaded = load.load(str(path))
    except load.SettingsError as error:
        context.errors = error.errors


@behave.then('the settings name instance "{instance_id}"')
def settings_name(context, instance_id):
    assert not context.errors, context.errors
    assert context.loaded.settings.instance_id == instance_id


@behave.then('there are errors for "{keys}"')
def errors_for(context, keys):
    seen = {line.split(':')[0] for line in context.errors}
    assert seen == set(keys.split(', ')), context.errors
