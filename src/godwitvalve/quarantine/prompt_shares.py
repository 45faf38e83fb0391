"""How common segments are among the latest prompts of services."""

from __future__ import annotations

import collections
from collections import abc

# Prompts of a service that are counted.
MAX_PROMPTS = 256
MAX_SERVICES = 64
# Prompts assumed before the first one, so that a few equal prompts do not make
# their segments common.
ASSUMED_PROMPTS = 8


class _Window:
    """The latest prompts of one service."""

    def __init__(self) -> None:
        self._prompts: collections.deque[frozenset[str]] = collections.deque()
        self._counts: collections.Counter[str] = collections.Counter()

    def add(self, segments: frozenset[str]) -> None:
        """Count a prompt."""
        self._prompts.append(segments)
        self._counts.update(segments)
        if len(self._prompts) > MAX_PROMPTS:
            oldest = self._prompts.popleft()
            self._counts.subtract(oldest)
            for each in oldest:
                if not self._counts[each]:
                    del self._counts[each]

    def share(self, segment: str) -> float:
        """Return the share of prompts that have a segment."""
        return self._counts[segment] / (self.count() + ASSUMED_PROMPTS)

    def count(self) -> int:
        """Return the number of prompts."""
        return len(self._prompts)


class PromptShares:
    """Share of the prompts at this entry that have a segment."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def record(self, service: str, segments: abc.Iterable[str]) -> None:
        """Count a prompt for a service."""
        window = self._windows.setdefault(service, _Window())
        window.add(frozenset(segments))
        if len(self._windows) > MAX_SERVICES:
            del self._windows[next(iter(self._windows))]

    def share(self, service: str, segment: str) -> float:
        """Return the share of a service's prompts that have a segment."""
        window = self._windows.get(service)
        return window.share(segment) if window else 0.0

    def count(self, service: str) -> int:
        """Return the number of a service's prompts that are counted."""
        window = self._windows.get(service)
        return window.count() if window else 0
