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
        self._thaw_s = 0.0
        self._connections: weakref.WeakSet[Any] = weakref.WeakSet()
        self._silenced: weakref.WeakSet[Any] = weakref.WeakSet()

    def connected(self, connection: Any) -> None:
        """Remember an open connection."""
        self._connections.add(connection)

    def silence_connections(self, spared: Any) -> None:
        """Stop all output on the connections that are open now."""
        self._silenced.update(self._connections)
        self._silenced.discard(spared)

    def freeze(self, seconds: float | None) -> None:
        """Stop all output, for good if no time is given."""
        self._thaw_s = time.monotonic() + (seconds or float('inf'))

    def thaw(self) -> None:
        """End a freeze."""
        self._thaw_s = 0.0

    async def while_frozen(self) -> None:
        """Return at once, or when the freeze has ended."""
        while time.monotonic() < self._thaw_s:
            await asyncio.sleep(0.01)

    async def before_output(self, connection: Any) -> None:
        """Return when a connection may carry output, possibly never."""
        await self.while_frozen()
        while connection in self._silenced:
            await asyncio.sleep(0.05)

    def apply(self, switches: dict[str, Any], spared: Any) -> None:
        """Set the switches that are named."""
        if 'freeze' in switches:
            value = switches['freeze']
            if value is False:
                self.thaw()
            else:
                self.freeze(None if value is True else float(value))
        if switches.get('silence_connections'):
            self.silence_connections(spared)
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
