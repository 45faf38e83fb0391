"""State of the platform stand-in, held in memory only."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import Any

Instances = dict[str, dict[str, Any]]


@dataclasses.dataclass
class Faults:
    """Fault switches.

    :param down: reject every service call with status 503, not applied.
    :param store_down: like ``down``, but the instance list remains available.
    :param slow_ms: milliseconds before a service call is processed.
    :param lose_write_answers: apply writes, then close without a response.
    :param list_lag_ms: age in milliseconds of the returned instance list.
    """

    down: bool = False
    store_down: bool = False
    slow_ms: float = 0.0
    lose_write_answers: bool = False
    list_lag_ms: float = 0.0


class Table:
    """Rows with versions; each write is atomic."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, str]] = {}

    def row(self, key: str) -> dict[str, Any] | None:
        """Return a row in its JSON form or None."""
        if key not in self.rows:
            return None
        version, value = self.rows[key]
        return {'key': key, 'version': version, 'value': value}

    def compare_and_set(self, key: str, expected: int, value: str) -> int:
        """Write a row and return its version, or 0 on a conflict."""
        current, _ = self.rows.get(key, (0, ''))
        if current != expected:
            return 0
        self.rows[key] = (current + 1, value)
        return current + 1


class InstanceHistory:
    """Instance list that can be read as of an earlier time."""

    def __init__(self) -> None:
        self._changes: list[tuple[float, Instances]] = [(0.0, {})]

    def _append(self, current: Instances) -> None:
        self._changes.append((time.monotonic(), current))

    def put(self, instance_id: str, instance: dict[str, Any]) -> None:
        """Add or replace an instance."""
        _, current = self._changes[-1]
        self._append({**current, instance_id: instance})

    def remove(self, instance_id: str) -> None:
        """Remove an instance."""
        _, current = self._changes[-1]
        remaining = {k: v for k, v in current.items() if k != instance_id}
        self._append(remaining)

    def delayed(self, lag_s: float) -> list[dict[str, Any]]:
        """Return the list as it was ``lag_s`` seconds ago."""
        listed_until_s = time.monotonic() - lag_s
        *_, instances = (
            current
            for at_s, current in self._changes
            if at_s <= listed_until_s
        )
        return list(instances.values())


class State:
    """Tables, objects, weights, instances, faults and counters."""

    def __init__(self) -> None:
        self.tables: dict[str, Table] = collections.defaultdict(Table)
        self.objects: dict[str, bytes] = {}
        self.weights: set[str] = set()
        self.instances = InstanceHistory()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
