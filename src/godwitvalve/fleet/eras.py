"""Eras of the store, which is restored from an older copy at times."""

from __future__ import annotations

import asyncio


class StoreEra:
    """Newest known era of the store.

    A store that comes back from a copy gives versions out again, and its era
    rises. Entries learn of it from their own calls or from one another.
    """

    def __init__(self) -> None:
        self.current = 0
        # Number of times that an era was recorded that may be a new one.
        self.change_count = 0
        self._newest_reported = 0
        self._changed = asyncio.Event()

    def record(self, era: int) -> None:
        """Record the era that the store itself stated."""
        if era != self.current:
            self.current = era
            self._notify()

    def record_report(self, era: int) -> None:
        """Record the era that another entry reports.

        Each greater era is only a reason to ask the store once: an era that
        the store does not confirm has no effect.
        """
        if era > max(self.current, self._newest_reported):
            self._newest_reported = era
            self._notify()

    def is_settled(self, era: int) -> bool:
        """Tell whether no era but this one was recorded lately."""
        return era == self.current and era >= self._newest_reported

    def _notify(self) -> None:
        self.change_count += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_for_change(self, seen_count: int) -> None:
        """Wait until an era is recorded after so many others."""
        while self.change_count == seen_count:
            await self._changed.wait()
