"""Platform ports and peers in memory, for tests without sockets."""

from __future__ import annotations

import collections

from godwitvalve.store import port
from godwitvalve.text import head as text_head
from godwitvalve.text import model
from godwitvalve.text import parts


class ManualClock:
    """Clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic_s(self) -> float:
        """Return the set time."""
        return self.now_s

    def wall_s(self) -> float:
        """Return the set time."""
        return self.now_s


class MemoryPlatform:
    """Table service and object store that can be made unavailable."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], port.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.is_down = False
        self.get_counts: collections.Counter[str] = collections.Counter()

    def _check(self) -> None:
        if self.is_down:
            raise port.PlatformUnavailable('down')

    async def read(self, table: str, key: str) -> port.Row | None:
        """Return a row."""
        self._check()
        return self.rows.get((table, key))

    async def scan(self, table: str, prefix: str) -> list[port.Row]:
        """Return all rows of a table; the prefix is ignored."""
        self._check()
        return [row for (name, _), row in self.rows.items() if name == table]

    async def compare_and_set(
        self, table: str, key: str, expected_version: int, value: bytes
    ) -> port.WriteOutcome:
        """Write a row if its version is the expected one."""
        if self.is_down:
            return port.WriteRefused('down')
        current = self.rows.get((table, key))
        version = current.version if current else 0
        if version != expected_version:
            return port.Conflict(current)
        self.rows[table, key] = port.Row(key, version + 1, value)
        return port.Written(version + 1)

    async def put(self, key: str, body: bytes) -> None:
        """Store an object."""
        self._check()
        self.objects[key] = body

    async def get(self, key: str) -> bytes | None:
        """Return an object and count the read."""
        self._check()
        self.get_counts[key] += 1
        return self.objects.get(key)


class MemoryPeers:
    """Peers that have some parts of a text."""

    def __init__(self) -> None:
        self.parts: dict[str, bytes] = {}
        self.requested_hashes: list[frozenset[str]] = []

    async def fetch_parts(self, hashes: frozenset[str]) -> dict[str, bytes]:
        """Return the parts that the peers have."""
        self.requested_hashes.append(hashes)
        return {
            item: self.parts[item] for item in hashes if item in self.parts
        }


def accept(
    platform: MemoryPlatform, text: model.Text, now_wall_s: float
) -> text_head.Head:
    """Store a text as the accepted one and return its head."""
    row_key = (text_head.TABLE, text_head.KEY)
    row = platform.rows.get(row_key)
    base = text_head.decode(row.value) if row else None
    split = parts.split(text)
    head = text_head.next_head(base, text, split, 'nonce', now_wall_s)
    for part in split.values():
        key = parts.object_key(part.content_hash)
        platform.objects[key] = part.body
    value = text_head.encode(head)
    platform.rows[row_key] = port.Row(text_head.KEY, head.revision, value)
    return head
