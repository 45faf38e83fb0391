"""State and fault switches of the plain service stand-in."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import Any, TypedDict

MAX_LOG_ENTRIES = 200_000


class LogEntry(TypedDict):
    """Record of one call that ran."""

    number: int
    method: str
    path: str
    key: str
    body: str
    failed: bool
    at_wall_s: float


@dataclasses.dataclass
class Faults:
    """Fault switches, set by ``POST /faults``.

    :param die: end the process without answering the fault request.
    :param freeze: accept calls but neither run nor answer them.
    :param lose_answers: run calls, then close without a response.
    :param fail_routes: path prefixes of calls that fail with status 500.
    :param fail_share: share of calls that fail with status 500.
    :param slow_ms: milliseconds added to each call.
    :param leaving: report the state ``leaving``.
    """

    die: bool = False
    freeze: bool = False
    lose_answers: bool = False
    fail_routes: list[str] = dataclasses.field(default_factory=list)
    fail_share: float = 0.0
    slow_ms: float = 0.0
    leaving: bool = False


class State:
    """Calls that ran and the current fault switches.

    :param seed: seed of the random choice of failing calls.
    """

    def __init__(self, seed: int) -> None:
        self.faults = Faults()
        self.log: list[LogEntry] = []
        self.running = 0
        self.waiting = 0
        self._random = random.Random(seed)
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Change the named switches.

        :raises ValueError: if a switch does not exist.
        """
        names = {field.name for field in dataclasses.fields(Faults)}
        if unknown := set(changes) - names:
            raise ValueError(f'unknown faults: {sorted(unknown)}')
        self.faults = dataclasses.replace(self.faults, **changes)
        if self.faults.freeze:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()

    async def wait_unfrozen(self) -> None:
        """Wait while the ``freeze`` switch is set."""
        self.waiting += 1
        try:
            await self._unfrozen.wait()
        finally:
            self.waiting -= 1

    def record(
        self, method: str, path: str, key: str, body: str, at_wall_s: float
    ) -> LogEntry:
        """Record a call as run and decide whether it fails."""
        if len(self.log) >= MAX_LOG_ENTRIES:
            self.log.pop(0)
        failed = (
            any(path.startswith(each) for each in self.faults.fail_routes)
            or self._random.random() < self.faults.fail_share
        )
        number = self.log[-1]['number'] + 1 if self.log else 1
        entry = LogEntry(
            number=number,
            method=method,
            path=path,
            key=key,
            body=body,
            failed=failed,
            at_wall_s=at_wall_s,
        )
        self.log.append(entry)
        return entry
