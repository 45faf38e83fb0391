"""Collects the body of a request or an answer."""

from __future__ import annotations

import mmap
from typing import TypeAlias

# Content of a body; long ones are not copied.
Content: TypeAlias = bytes | memoryview

# Longer bodies get memory of their own, which grows without a copy and goes
# back to the system at once. On the heap, 34 growing bodies left as many
# free bytes between them as they held.
MAX_HEAP_BYTES = 64 * 1024


class MessageBuffer:
    """Bytes of one body.

    :param size_bytes: expected length, or 0 if it is unknown.
    """

    def __init__(self, size_bytes: int = 0) -> None:
        self._size_bytes = 0
        self._heap = bytearray()
        self._map: mmap.mmap | None = None
        if size_bytes > MAX_HEAP_BYTES:
            self._map = _allocate(size_bytes)

    def __len__(self) -> int:
        return self._size_bytes

    def append(self, chunk: bytes | bytearray) -> None:
        """Add bytes at the end."""
        begin = self._size_bytes
        self._size_bytes += len(chunk)
        if self._map is None and self._size_bytes <= MAX_HEAP_BYTES:
            self._heap += chunk
            return
        if self._map is None:
            self._map = _allocate(self._size_bytes * 2)
            self._map[:begin] = bytes(self._heap)
            self._heap = bytearray()
        elif self._size_bytes > len(self._map):
            self._map.resize(self._size_bytes * 2)
        self._map[begin : self._size_bytes] = chunk

    def content(self) -> Content:
        """Return all bytes; none may be added afterwards."""
        if self._map is None:
            return bytes(self._heap)
        return memoryview(self._map)[: self._size_bytes]


def _allocate(size_bytes: int) -> mmap.mmap:
    """Return private memory, which is in use only once it is written."""
    return mmap.mmap(
        -1, size_bytes, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
    )
