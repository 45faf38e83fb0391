"""Table service in memory with injectable faults."""

from __future__ import annotations

from godwitvalve.store import port


class MemoryTables:
    """Rows of tables; attributes make it lose answers or delay writes."""

    def __init__(self):
        self.rows = {}
        self.is_down = False
        self.lose_answers = 0
        self.delay_writes = 0
        self.delayed_writes = []
        self.writes = 0

    async def read(self, table, key):
        if self.is_down:
            raise port.PlatformUnavailable('down')
        return self.rows.get((table, key))

    async def scan(self, table, prefix):
        raise NotImplementedError

    async def compare_and_set(self, table, key, expected_version, value):
        if self.is_down:
            return port.WriteRefused('down')
        if self.delay_writes:
            self.delay_writes -= 1
            self.delayed_writes.append((table, key, expected_version, value))
            return port.WriteUnknown('timeout')
        outcome = self._apply(table, key, expected_version, value)
        if self.lose_answers:
            self.lose_answers -= 1
            return port.WriteUnknown('connection lost')
        return outcome

    def deliver_delayed(self):
        """Apply all delayed writes."""
        for write in self.delayed_writes:
            self._apply(*write)
        self.delayed_writes = []

    def _apply(self, table, key, expected_version, value):
        row = self.rows.get((table, key))
        version = row.version if row else 0
        if version != expected_version:
            return port.Conflict(row)
        self.writes += 1
        self.rows[table, key] = port.Row(key, version + 1, value)
        return port.Written(version + 1)
