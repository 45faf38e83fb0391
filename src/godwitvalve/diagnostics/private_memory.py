"""Reads the private memory of this process."""

from __future__ import annotations

import pathlib

STATUS_PATH = pathlib.Path('/proc/self/status')
_FIELD = b'RssAnon:'
_UNIT_BYTES = 1024


def parse(status: bytes) -> int | None:
    """Return the private memory in bytes that a status file states.

    :returns: None if it states none that can be read.
    """
    _, _, rest = status.partition(_FIELD)
    words = rest.partition(b'\n')[0].split()
    if len(words) != 2 or not words[0].isdigit() or words[1] != b'kB':
        return None
    return int(words[0]) * _UNIT_BYTES


def read(path: pathlib.Path = STATUS_PATH) -> int | None:
    """Return the private memory in bytes, or None where it is not known."""
    try:
        return parse(path.read_bytes())
    except OSError:
        return None
