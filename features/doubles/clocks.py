"""Clock whose wall time a scenario can shift."""

from __future__ import annotations

import time


class ShiftedClock:
    """System clock with a shifted wall time."""

    def __init__(self):
        self.shift_s = 0.0

    def monotonic_s(self):
        return time.monotonic()

    def wall_s(self):
        return time.time() + self.shift_s
