"""Tells refused callers when to come back.

Load pattern: hundreds of callers are refused within seconds. Told the same
short time, they come back together while the service is still full, and are
refused again. Performs no input or output.
"""

from __future__ import annotations

# Callers wait at most this part of the time that they have left.
HONOURED_SHARE = 1 / 3


class ReturnSchedule:
    """Times at which the callers that one entry refused come back.

    Each caller gets the next time that no other was told, so that they come
    back in the order of their refusals and at the rate of the service.
    """

    def __init__(self) -> None:
        self._next_s = float('-inf')

    def retry_after_s(
        self,
        now_s: float,
        free_in_s: float,
        rate_per_s: float,
        left_s: float,
    ) -> float:
        """Return the seconds after which a refused caller may come back.

        A caller that can't wait that long is told the longest time that it
        honours and takes no place.

        :param free_in_s: expected seconds until the service has room.
        :param rate_per_s: requests a second that this entry may send.
        :param left_s: seconds that the caller has left.
        """
        longest_s = max(left_s, 0.0) * HONOURED_SHARE
        at_s = max(self._next_s, now_s + free_in_s)
        if at_s - now_s > longest_s:
            return longest_s
        self._next_s = at_s + 1.0 / max(rate_per_s, 0.001)
        return at_s - now_s
