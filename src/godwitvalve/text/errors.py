"""Errors of a text."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class TextError(NamedTuple):
    """One error with the path of its key.

    :param path: keys from the top level, joined by dots; ``(text)`` for the
        text itself.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f'{self.path}: {self.message}'


def join_path(keys: Iterable[int | str]) -> str:
    """Join the keys of a path by dots; no key gives ``(text)``."""
    return '.'.join(str(key) for key in keys) or '(text)'
