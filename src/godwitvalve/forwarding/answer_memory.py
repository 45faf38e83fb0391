"""Limit of the memory that unfinished answers of endpoints take together."""

from __future__ import annotations

from typing import Protocol

# A share of the machine's memory; the process itself takes 30 to 60 MB of
# the 128 MB of the smallest machine.
MEMORY_SHARE = 0.125
MIN_LIMIT_BYTES = 4 * 1024 * 1024


class Holder(Protocol):
    """Owner of the bytes of one unfinished answer."""

    def abort_for_memory(self) -> None:
        """Give up the answer and release its bytes."""


class AnswerMemory:
    """Counts the bytes of unfinished answers and bounds their sum.

    Load pattern: endpoints send bodies without end to all calls in flight.
    A limit for each answer alone would be multiplied by their number. The
    largest answer is given up first, so that ordinary answers of a few
    hundred bytes still arrive.

    :param limit_bytes: greatest sum.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._held_bytes: dict[Holder, int] = {}

    def hold(self, holder: Holder, size_bytes: int) -> None:
        """Set the size of one answer; give up the largest ones if needed."""
        self.total_bytes += size_bytes - self._held_bytes.pop(holder, 0)
        if size_bytes:
            self._held_bytes[holder] = size_bytes
        while self.total_bytes > self.limit_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            self.release(largest)
            largest.abort_for_memory()

    def release(self, holder: Holder) -> None:
        """Forget an answer."""
        self.total_bytes -= self._held_bytes.pop(holder, 0)


def limit_for(machine_mb: float) -> int:
    """Return the limit in bytes for a machine with this much memory."""
    limit_bytes = int(machine_mb * MEMORY_SHARE * 1024 * 1024)
    return max(limit_bytes, MIN_LIMIT_BYTES)
