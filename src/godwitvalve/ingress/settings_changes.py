"""Decides when settings are read again and what changes; performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from godwitvalve.platform import settings as wire_settings


class FileState(NamedTuple):
    """What tells one content of a file from another without reading it."""

    inode: int
    size_bytes: int
    modified_ns: int
    changed_ns: int


class ChangeDetector:
    """Tells when a file that is checked periodically has to be read.

    Load pattern: a file is replaced, or written in several steps, at any
    time. It is read once it has stayed the same for a whole period. A file
    that is being written is not read then, and the next change gets another
    time, as file systems count time in steps of milliseconds.
    """

    def __init__(self) -> None:
        self._has_checked = False
        self._last: FileState | None = None
        self._has_read = False
        self._read: FileState | None = None

    def is_due(self, state: FileState | None) -> bool:
        """Tell whether to read the file now.

        :param state: of the file at this check; None if there is no file.
        """
        has_settled = self._has_checked and state == self._last
        self._has_checked, self._last = True, state
        if not has_settled or (self._has_read and state == self._read):
            return False
        self._has_read, self._read = True, state
        return True


class SettingsUpdate(NamedTuple):
    """Result of a comparison of the settings in force with those read.

    :param settings: settings in force from now on.
    :param changed: names of the fields that changed.
    :param waits_for_restart: names of the fields whose values were read and
        are not in force.
    """

    settings: wire_settings.FleetSettings
    changed: list[str]
    waits_for_restart: list[str]


def update(
    current: wire_settings.FleetSettings, read: wire_settings.FleetSettings
) -> SettingsUpdate:
    """Return the settings in force after others were read."""
    different = {
        name: getattr(read, name)
        for name in read.__struct_fields__
        if getattr(read, name) != getattr(current, name)
    }
    changed = {
        name: value
        for name, value in different.items()
        if name not in wire_settings.RESTART_FIELDS
    }
    return SettingsUpdate(
        msgspec.structs.replace(current, **changed),
        list(changed),
        [name for name in different if name not in changed],
    )
