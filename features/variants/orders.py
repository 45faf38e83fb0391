"""Leases without one of their guards, and a table service in memory."""

from __future__ import annotations

from godwitvalve.orders import lease
from godwitvalve.store import port


class WithoutDeadlineCheck(lease.FencingLease):
    """Lease whose holder does not check its deadline."""

    def fencing_number(self):
        """Return the number of the last write."""
        return self._held.version if self._held else None


class WithoutReadBack(lease.FencingLease):
    """Lease that treats a lost write answer as a refused write."""

    async def _read_back(self, nonce, before_s):
        return self._handle_unconfirmed_write()


class WithoutWait(lease.FencingLease):
    """Lease that is taken over without waiting for its deadline."""

    def _has_expired(self, row):
        return True


class MemoryTable:
    """Table service in memory that can lose answers and go down."""

    def __init__(self):
        self.rows = {}
        self.down = False
        self.lose_answers = False
        self.writes = 0

    async def read(self, table, key):
        """Return a row or None."""
        if self.down:
            raise port.PlatformUnavailable
        return self.rows.get((table, key))

    async def scan(self, table, prefix):
        """Return the rows with a prefix."""
        return [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key.startswith(prefix)
        ]

    async def compare_and_set(self, table, key, expected_version, value):
        """Write a row if it has the expected version."""
        if self.down:
            return port.WriteRefused('down')
        self.writes += 1
        current = self.rows.get((table, key))
        version = current.version if current else 0
        if version != expected_version:
            return port.Conflict(current)
        self.rows[table, key] = port.Row(key, version + 1, value)
        if self.lose_answers:
            return port.WriteUnknown('answer lost')
        return port.Written(version + 1)
