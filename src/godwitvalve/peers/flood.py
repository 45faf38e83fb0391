"""Duplicate suppression for flooded messages."""

from __future__ import annotations

from typing import NamedTuple

MAX_ORIGINS = 2048
WINDOW = 1024


class _Window(NamedTuple):
    newest: int
    seen_bits: int


class FloodFilter:
    """Remembers which messages of each origin were received.

    Memory is bounded: there is a window of sequence numbers for each
    incarnation of an origin, and the least recently used one is evicted.

    :param max_origins: maximum number of incarnations with a window.
    :param window: sequence numbers in a window.
    """

    def __init__(
        self, max_origins: int = MAX_ORIGINS, window: int = WINDOW
    ) -> None:
        self._max_origins = max_origins
        self._window = window
        self._mask = (1 << window) - 1
        self._windows: dict[tuple[str, int], _Window] = {}

    def __len__(self) -> int:
        return len(self._windows)

    def is_new(self, origin: str, incarnation: int, sequence: int) -> bool:
        """Record a message and return whether it was not seen before.

        A message older than the window counts as seen.
        """
        key = (origin, incarnation)
        window = self._windows.pop(key, None)
        if window is None:
            if len(self._windows) >= self._max_origins:
                del self._windows[next(iter(self._windows))]
            self._windows[key] = _Window(sequence, 1)
            return True
        updated = self._update(window, sequence)
        self._windows[key] = updated or window
        return updated is not None

    def _update(self, window: _Window, sequence: int) -> _Window | None:
        ahead = sequence - window.newest
        if ahead >= self._window:
            return _Window(sequence, 1)
        if ahead > 0:
            bits = (window.seen_bits << ahead) & self._mask
            return _Window(sequence, bits | 1)
        if -ahead >= self._window or window.seen_bits >> -ahead & 1:
            return None
        return window._replace(seen_bits=window.seen_bits | 1 << -ahead)
