"""Reads the settings of a process again while it runs."""

from __future__ import annotations

from collections import abc
import os

from godwitvalve.ingress import settings_changes
from godwitvalve.logs import setup as logs
from godwitvalve.platform import settings as wire_settings

_LOG = logs.get('settings')


class SettingsReload:
    """Settings in force, and the file from which they are read again.

    :param settings: settings of the start.
    :param on_change: called with the settings in force after a change.
    """

    def __init__(
        self,
        settings: wire_settings.FleetSettings,
        on_change: abc.Callable[[wire_settings.FleetSettings], None],
    ) -> None:
        self._current = settings
        self._on_change = on_change
        self._detector = settings_changes.ChangeDetector()
        # Content of the last read, or why there was none.
        self._last_read: bytes | str = ''

    def check(self) -> None:
        """Read the file if it has changed; called periodically."""
        if self._detector.is_due(_file_state()):
            self.read()

    def read(self, is_announced: bool = False) -> None:
        """Read the file and use what changed; errors are logged once.

        :param is_announced: whether to log also that nothing changed.
        """
        before, self._last_read = self._last_read, _read_file()
        is_new = self._last_read != before
        if not is_new and not is_announced:
            return
        try:
            settings = _decode(self._last_read)
        except wire_settings.SettingsError as error:
            if is_new:
                _LOG.error(
                    'Settings are invalid; keeping the current ones.',
                    extra={'reason': str(error)},
                )
            return
        self._apply(
            settings_changes.update(self._current, settings), is_announced
        )

    def _apply(
        self, found: settings_changes.SettingsUpdate, is_announced: bool
    ) -> None:
        self._current = found.settings
        if found.changed or found.waits_for_restart or is_announced:
            _LOG.info(
                'Settings were read again.',
                extra={
                    'changed': found.changed,
                    'waits_for_restart': found.waits_for_restart,
                },
            )
        if found.changed:
            self._on_change(found.settings)


def _read_file() -> bytes | str:
    """Return the content of the file, or why it cannot be read."""
    try:
        return wire_settings.read()
    except wire_settings.SettingsError as error:
        return str(error)


def _decode(content: bytes | str) -> wire_settings.FleetSettings:
    if isinstance(content, str):
        raise wire_settings.SettingsError(content)
    return wire_settings.decode(content)


def _file_state() -> settings_changes.FileState | None:
    try:
        found = os.stat(wire_settings.path())
    except (OSError, wire_settings.SettingsError):
        return None
    return settings_changes.FileState(
        found.st_ino, found.st_size, found.st_mtime_ns, found.st_ctime_ns
    )
