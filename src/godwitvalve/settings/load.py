"""Reads and validates a settings file in JSON5."""

from __future__ import annotations

import pathlib
from typing import NamedTuple

import orjson
import pydantic
import pyjson5

from godwitvalve.settings import model

MIN_KEY_BYTES = 32
_ADAPTER = pydantic.TypeAdapter(model.EntrySettings)


class SettingsError(Exception):
    """The settings file or a key file is invalid.

    :param errors: one line for each error, with the path of its key.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__('\n'.join(errors))
        self.errors = errors


class LoadedSettings(NamedTuple):
    """Validated settings and the contents of the key files."""

    settings: model.EntrySettings
    peer_key: bytes
    resume_key: bytes


def _key_path(location: tuple[int | str, ...]) -> str:
    return '.'.join(str(step) for step in location) or '(file)'


def _key_errors(name: str, file_name: object) -> list[str]:
    if not isinstance(file_name, str):
        return []
    try:
        key = pathlib.Path(file_name).read_bytes().strip()
    except OSError as error:
        return [f'{name}: cannot read {file_name}: {error.strerror}']
    if len(key) < MIN_KEY_BYTES:
        return [f'{name}: {file_name} holds fewer than {MIN_KEY_BYTES} bytes']
    return []


def load(file_name: str) -> LoadedSettings:
    """Read and validate a settings file and its key files.

    :param file_name: path of the settings file.
    :raises SettingsError: with all errors that were found.
    """
    try:
        raw = pyjson5.decode(pathlib.Path(file_name).read_text())
    except OSError as error:
        raise SettingsError([f'(file): {error.strerror}']) from error
    except (pyjson5.Json5Exception, UnicodeDecodeError) as error:
        raise SettingsError([f'(file): not JSON: {error}']) from error
    errors = []
    settings = None
    try:
        settings = _ADAPTER.validate_json(orjson.dumps(raw))
    except pydantic.ValidationError as error:
        errors += [
            f'{_key_path(item["loc"])}: {item["msg"]}'
            for item in error.errors()
        ]
    if isinstance(raw, dict):
        for name in ('peer_key_file', 'resume_key_file'):
            errors += _key_errors(name, raw.get(name))
    if errors or settings is None:
        raise SettingsError(errors)
    return LoadedSettings(
        settings,
        pathlib.Path(settings.peer_key_file).read_bytes().strip(),
        pathlib.Path(settings.resume_key_file).read_bytes().strip(),
    )
