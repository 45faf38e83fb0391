"""Settings of an entry instance, as the deployment template renders them."""

from __future__ import annotations

import os
import stat

import msgspec

from godwitvalve.decoding import bounds
from godwitvalve.decoding import content as contents

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'GODWITVALVE_BOOT'
# Heartbeats and permits use a port each.
PEER_PORTS = 2
MAX_PORT = 65535
# A settings file takes 1 KB.
MAX_FILE_BYTES = 1024 * 1024
# Fields whose changes wait for a restart: they name this instance to others
# or are addresses at which it listens. All other fields change at runtime.
RESTART_FIELDS = frozenset(
    {
        'instance_id',
        'failure_domain',
        'ip',
        'caller_address',
        'readiness_address',
        'directory_address',
        'control_address',
        'peer_ports',
    }
)

_DECODER = msgspec.json.Decoder()


class SettingsError(Exception):
    """The settings file cannot be used."""


class FleetSettings(msgspec.Struct, frozen=True):
    """Validated settings; addresses are ``IP:port``.

    ``peer_ports`` holds the first and the last port that entry instances
    may use among themselves; two of them are used. ``stop_limit_s`` is the
    time between SIGTERM and SIGKILL. ``address_reuse_s`` is the time for
    which the platform does not assign the address of an ended endpoint to
    another service. A bad version may receive at most ``exposure_share`` of
    the requests for its service plus ``exposure_slack`` requests.
    ``memory_mb`` is the memory of the machine. The process may use
    ``cpu_share`` of its ``cores`` and send ``link_mbps`` Mbit/s; 0 means that
    this is not known, and addresses are then listed without regard to it.
    A configuration has to be in force ``configuration_limit_ms`` after it
    was written. An endpoint that
    leaves may get requests for ``drain_limit_ms`` after the store confirmed
    it, once the store has been stable for ``contact_limit_ms``.
    """

    instance_id: str
    failure_domain: str
    ip: str
    caller_address: str
    readiness_address: str
    directory_address: str
    control_address: str
    peer_ports: tuple[bounds.Port, bounds.Port]
    store_address: str
    seed_addresses: list[str] = []
    stop_limit_s: bounds.Amount = 8.0
    address_validity_limit_s: bounds.Amount = 5.0
    address_reuse_s: bounds.Amount = 0.0
    retry_budget_ratio: bounds.Amount = 0.8
    retry_budget_burst: bounds.Amount = 150.0
    exposure_share: bounds.Amount = 0.1
    exposure_slack: bounds.Amount = 50.0
    memory_mb: bounds.Amount = 128.0
    configuration_limit_ms: bounds.Amount = 2000.0
    cpu_share: bounds.Amount = 0.0
    cores: bounds.Amount = 0.0
    link_mbps: bounds.Amount = 0.0
    drain_limit_ms: bounds.Amount = 2000.0
    contact_limit_ms: bounds.Amount = 3000.0


def _is_address(value: object) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(':')
    return bool(host) and 0 < (contents.parse_count(port) or 0) <= MAX_PORT


def _address_errors(raw: dict[str, object]) -> list[str]:
    return [
        f'{name}: {value!r:.{contents.MAX_REASON_CHARS}} is not IP:port'
        for name, value in raw.items()
        if name.endswith('_address') and not _is_address(value)
    ]


def _port_errors(raw: dict[str, object]) -> list[str]:
    first, last = msgspec.convert(raw['peer_ports'], tuple[int, int])
    if last - first + 1 >= PEER_PORTS:
        return []
    return [f'peer_ports: {first} to {last} is less than {PEER_PORTS} ports']


def _field_errors(raw: dict[str, object]) -> list[str]:
    """Return one line for each field that is missing or of another type."""
    errors = []
    for field in msgspec.structs.fields(FleetSettings):
        if field.name not in raw:
            if field.required:
                errors.append(f'{field.name}: missing')
            continue
        try:
            msgspec.convert(raw[field.name], field.type)
        except msgspec.ValidationError as error:
            errors.append(f'{field.name}: {contents.describe(error)}')
    return errors


def decode(content: bytes) -> FleetSettings:
    """Decode and validate the content of a settings file.

    :raises SettingsError: with one line for each error.
    """
    try:
        raw = contents.decode(_DECODER, content)
    except contents.InvalidContent as error:
        raise SettingsError(f'(file): not JSON: {error}') from error
    if not isinstance(raw, dict):
        raise SettingsError('(file): not a JSON object')
    errors = _field_errors(raw) or _address_errors(raw) or _port_errors(raw)
    if errors:
        raise SettingsError('\n'.join(errors))
    return msgspec.convert(raw, FleetSettings)


def path() -> str:
    """Return the path of the settings file.

    :raises SettingsError: if ``SETTINGS_VARIABLE`` does not name it.
    """
    found = os.environ.get(SETTINGS_VARIABLE)
    if not found:
        raise SettingsError(f'{SETTINGS_VARIABLE} is not set')
    return found


def read() -> bytes:
    """Return the content of the settings file without blocking.

    A pipe without a writer would block the process as it is opened.

    :raises SettingsError: if it cannot be read or is no regular file.
    """
    name = path()
    flags = os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC
    try:
        with os.fdopen(os.open(name, flags), 'rb') as file:
            if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
                raise SettingsError(f'{name}: not a regular file')
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise SettingsError(f'{name}: {error.strerror}') from error
    if len(content) > MAX_FILE_BYTES:
        raise SettingsError(f'{name}: larger than {MAX_FILE_BYTES} bytes')
    return content


def load() -> FleetSettings:
    """Read and validate the settings file.

    :raises SettingsError: if it is missing or has errors.
    """
    return decode(read())
