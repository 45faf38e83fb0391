"""Runs coroutines in virtual time: waits take none."""

from __future__ import annotations

import asyncio
from unittest import mock


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock goes to the next timer when nothing is ready."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0

    def time(self):
        return self.now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self.now_s = max(self.now_s, self._scheduled[0].when())
        super()._run_once()


def run(coroutine):
    """Run a coroutine without input or output; return its result."""
    loop = _VirtualLoop()
    try:
        with mock.patch('time.monotonic', loop.time):
            return loop.run_until_complete(coroutine)
    finally:
        loop.close()
