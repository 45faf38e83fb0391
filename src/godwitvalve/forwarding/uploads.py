"""Tells stalled uploads from those that keep their pace; performs no I/O."""

from __future__ import annotations

# Pauses of this length are usual: a lost packet is sent again within it. It
# is also as long as another body waits for room.
WINDOW_S = 0.25
# After a longer window than this, an upload that brings this much at once is
# not judged: after a freeze of the entry, the first read of a sound upload
# brings only a part of what the kernel has kept. Stalled ones bring less.
MAX_WINDOW_S = 2 * WINDOW_S
RESUMED_BYTES = 16 * 1024
# Part of the pace, by which the body is complete at the time limit of its
# request, below which an upload counts as stalled.
LEAST_PACE = 0.5


class Upload:
    """Arrival of one body with a stated length.

    Load pattern: callers state a length of 4 MB and send single bytes. Their
    requests end at their time limits, and until then other long bodies are
    refused, as the room is reserved by the stated length.

    :param size_bytes: stated length.
    :param limit_s: time limit of the request, in seconds.
    """

    def __init__(self, size_bytes: int, limit_s: float, now_s: float) -> None:
        self.room_bytes = size_bytes
        self.arrived_bytes = 0
        self._least_bytes_s = LEAST_PACE * size_bytes / max(limit_s, WINDOW_S)
        self._began_s = now_s
        self._began_bytes = 0
        self._was_slow = False

    def record(self, arrived_bytes: int, now_s: float) -> None:
        """Record how much has arrived."""
        self.arrived_bytes = arrived_bytes
        elapsed_s = now_s - self._began_s
        if elapsed_s < WINDOW_S:
            return
        has_resumed = (
            elapsed_s > MAX_WINDOW_S
            and arrived_bytes - self._began_bytes >= RESUMED_BYTES
        )
        self._was_slow = not has_resumed and self._is_slow(now_s)
        self._began_s = now_s
        self._began_bytes = arrived_bytes

    def is_stalled(self, now_s: float) -> bool:
        """Tell whether the last window, or the present one, was too slow."""
        if now_s - self._began_s < WINDOW_S:
            return self._was_slow
        return self._is_slow(now_s)

    def _is_slow(self, now_s: float) -> bool:
        least_bytes = self._least_bytes_s * (now_s - self._began_s)
        return self.arrived_bytes - self._began_bytes < least_bytes
