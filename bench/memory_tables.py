"""An in-memory table service that can be made unavailable."""

from __future__ import annotations

from godwitvalve.store import port


class MemoryTables:
    """Stores the rows of all tables; ``down`` makes all calls fail."""

    def __init__(self) -> None:
        self.down = False
        self._rows: dict[tuple[str, str], port.Row] = {}

    async def read(self, table: str, key: str) -> port.Row | None:
        """Return a row or None."""
        if self.down:
            raise port.PlatformUnavailable('switched off')
        return self._rows.get((table, key))

    async def scan(self, table: str, prefix: str) -> list[port.Row]:
        """Return the rows whose key starts with a prefix."""
        if self.down:
            raise port.PlatformUnavailable('switched off')
        return [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key.startswith(prefix)
        ]

    async def compare_and_set(
        self, table: str, key: str, expected_version: int, value: bytes
    ) -> port.WriteOutcome:
        """Write a row if it still has the expected version."""
        if self.down:
            return port.WriteRefused('switched off')
        current = self._rows.get((table, key))
        if (current.version if current else 0) != expected_version:
            return port.Conflict(current)
        row = port.Row(key, expected_version + 1, value)
        self._rows[table, key] = row
        return port.Written(row.version)
