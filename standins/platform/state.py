"""State of the platform stand-in; nothing is kept on disk."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import Any

Instances = dict[str, dict[str, Any]]


@dataclasses.dataclass
class Faults:
    """Fault switches.

    :param down: answer every service call with 503, not applied.
    :param store_down: the same, but the instance list still answers.
    :param slow_ms: milliseconds before a service call is carried out.
    :param lose_write_answers: apply writes, then close without an answer.
    :param list_lag_ms: age in milliseconds of the instance list shown.
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
    """Instance list that can be shown as it was some time ago."""

    def __init__(self) -> None:
        self._changes: list[tuple[float, Instances]] = [(0.0, {})]

    def _change(self, current: Instances) -> None:
        self._changes.append((time.monotonic(), current))

    def put(self, instance_id: str, instance: dict[str, Any]) -> None:
        """List an instance or change how it is listed."""
        _, current = self._changes[-1]
        self._change({**current, instance_id: instance})

    def remove(self, instance_id: str) -> None:
        """Take an instance off the list."""
        _, current = self._changes[-1]
        rest = {k: v for k, v in current.items() if k != instance_id}
        self._change(rest)

    def shown(self, lag_s: float) -> list[dict[str, Any]]:
        """Return the list as it was ``lag_s`` seconds ago."""
        seen_s = time.monotonic() - lag_s
        *_, shown = (
            current for at_s, current in self._changes if at_s <= seen_s
        )
        return list(shown.values())


class State:
    """Everything that the stand-in holds."""

    def __init__(self) -> None:
        self.tables: dict[str, Table] = collections.defaultdict(Table)
        self.objects: dict[str, bytes] = {}
        self.weights: set[str] = set()
        self.instances = InstanceHistory()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
