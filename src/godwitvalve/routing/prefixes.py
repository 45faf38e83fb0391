"""Map from a prompt prefix to the endpoint that last received it."""

from __future__ import annotations

import collections

# About 2 MB at 200 bytes an item. Engines cache far fewer prefixes.
MAX_PREFIXES = 10_000


class PrefixMap:
    """Bounded map from prefix hint to endpoint; evicts the oldest record."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._holders: collections.OrderedDict[tuple[str, str, str], str] = (
            collections.OrderedDict()
        )

    def holder(self, service: str, version: str, hint: str) -> str | None:
        """Return the endpoint that likely has a prefix cached."""
        if not hint:
            return None
        return self._holders.get((service, version, hint))

    def record(
        self, service: str, version: str, hint: str, endpoint_id: str
    ) -> None:
        """Record that a prefix was sent to an endpoint."""
        if not hint:
            return
        key = (service, version, hint)
        self._holders[key] = endpoint_id
        self._holders.move_to_end(key)
        if len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)
