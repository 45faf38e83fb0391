"""A clock that a scenario sets."""

from __future__ import annotations

import time


class ShiftedClock:
    """The machine's clock plus a shift of the wall clock."""

    def __init__(self):
        self.shift_s = 0.0

    def monotonic_s(self):
        return time.monotonic()

    def wall_s(self):
        return time.time() + self.shift_s
