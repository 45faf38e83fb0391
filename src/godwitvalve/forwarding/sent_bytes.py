"""Counts the bytes that this process sends."""

from __future__ import annotations


class SentBytes:
    """Sum of what was passed to the sockets of a process.

    A container may hide the counters of its network interfaces, so the bytes
    are counted where they are written.
    """

    def __init__(self) -> None:
        self.total = 0

    def add(self, size_bytes: int) -> None:
        """Count bytes that are passed to a socket."""
        self.total += size_bytes


# Shared by all connections of the process.
PROCESS = SentBytes()
