"""Times at which callers that were refused come back; no input or output."""

from __future__ import annotations

import random

# Callers that would have to wait longer come back at any time in its second
# half.
MAX_RETURN_S = 10.0


class ReturnSchedule:
    """Return times of one service.

    Load pattern: a burst exceeds the limits of all endpoints several times.
    If all its callers come back after the same time, it repeats itself, so
    they are told times at which the limits have room for them.
    """

    def __init__(self) -> None:
        self._last_s = 0.0

    def next_wait_s(
        self,
        first_s: float,
        requests_per_s: float,
        now_s: float,
        rng: random.Random,
    ) -> float:
        """Return the seconds after which the next caller may come back.

        :param first_s: earliest time at which a request may be sent.
        :param requests_per_s: requests that this entry may send.
        """
        due_s = max(first_s, self._last_s + 1.0 / requests_per_s)
        if due_s - now_s > MAX_RETURN_S:
            return rng.uniform(MAX_RETURN_S / 2, MAX_RETURN_S)
        self._last_s = due_s
        return due_s - now_s
