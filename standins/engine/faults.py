"""Fault switches of the stand-in engine."""

from __future__ import annotations

import asyncio
import time
from typing import Any
import weakref


class Faults:
    """State of the fault switches."""

    def __init__(self) -> None:
        self.diverge = False
        self.fail_requests = False
        self.slow_factor = 1.0
        self.leaving = False
        self.load_lag_s = 0.0
        self.end_early_count = 0
        self._frozen_until_s = 0.0
        self._connections: weakref.WeakSet[Any] = weakref.WeakSet()
        self._silenced: weakref.WeakSet[Any] = weakref.WeakSet()

    def add_connection(self, connection: Any) -> None:
        """Register a connection for ``silence_connections``."""
        self._connections.add(connection)

    def silence_connections(self, excepted: Any) -> None:
        """Stop all output on the currently open connections but one."""
        self._silenced.update(self._connections)
        self._silenced.discard(excepted)

    def freeze(self, seconds: float | None) -> None:
        """Stop all output, without a time limit if no time is given."""
        self._frozen_until_s = time.monotonic() + (seconds or float('inf'))

    def unfreeze(self) -> None:
        """End a freeze."""
        self._frozen_until_s = 0.0

    async def wait_unfrozen(self) -> None:
        """Wait until the engine is not frozen."""
        while time.monotonic() < self._frozen_until_s:
            await asyncio.sleep(0.01)

    async def wait_output_allowed(self, connection: Any) -> None:
        """Wait until a connection may send output, possibly forever."""
        await self.wait_unfrozen()
        while connection in self._silenced:
            await asyncio.sleep(0.05)

    def apply(self, switches: dict[str, Any], excepted: Any) -> None:
        """Set the given switches; the others stay unchanged."""
        if 'freeze' in switches:
            value = switches['freeze']
            if value is False:
                self.unfreeze()
            else:
                self.freeze(None if value is True else float(value))
        if switches.get('silence_connections'):
            self.silence_connections(excepted)
        if switches.get('end_early'):
            self.end_early_count += 1
        self.diverge = bool(switches.get('diverge', self.diverge))
        self.fail_requests = bool(
            switches.get('fail_requests', self.fail_requests)
        )
        self.leaving = bool(switches.get('leaving', self.leaving))
        self.slow_factor = float(switches.get('slow_factor', self.slow_factor))
        lag_ms = switches.get('load_lag_ms', self.load_lag_s * 1000)
        self.load_lag_s = float(lag_ms) / 1000
