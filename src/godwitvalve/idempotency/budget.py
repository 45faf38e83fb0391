"""Rate limit of the claim writes of one entry instance."""

from __future__ import annotations

# All entry instances share several hundred writes a second.
DEFAULT_CLAIMS_PER_S = 50.0


class ClaimBudget:
    """Token bucket with a capacity of one second of claim writes.

    :param claims_per_s: writes per second that this entry may make.
    """

    def __init__(self, claims_per_s: float = DEFAULT_CLAIMS_PER_S) -> None:
        self._rate_per_s = claims_per_s
        self._tokens = max(1.0, claims_per_s)
        self._last_refill_s: float | None = None

    def set_rate(self, claims_per_s: float) -> None:
        """Change the rate, for example when the number of entries changes.

        :param claims_per_s: writes per second that this entry may make.
        """
        self._rate_per_s = claims_per_s

    def take(self, now_s: float) -> bool:
        """Consume one write from the budget, if one is available.

        :param now_s: monotonic seconds.
        :returns: whether a write may be made.
        """
        if self._last_refill_s is not None:
            elapsed_s = max(0.0, now_s - self._last_refill_s)
            self._tokens += elapsed_s * self._rate_per_s
        self._last_refill_s = now_s
        self._tokens = min(self._tokens, max(1.0, self._rate_per_s))
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
