"""Local budget of claim writes."""

from __future__ import annotations

# Several hundred writes a second are shared by all entry instances.
DEFAULT_CLAIMS_PER_S = 50.0


class ClaimBudget:
    """Token bucket that holds at most one second of claims.

    :param claims_per_s: writes a second that this entry may make.
    """

    def __init__(self, claims_per_s: float = DEFAULT_CLAIMS_PER_S) -> None:
        self._rate_per_s = claims_per_s
        self._tokens = max(1.0, claims_per_s)
        self._last_refill_s: float | None = None

    def set_rate(self, claims_per_s: float) -> None:
        """Change the rate, for example when entries come or go."""
        self._rate_per_s = claims_per_s

    def take(self, now_s: float) -> bool:
        """Take one write from the budget if there is one.

        :param now_s: monotonic seconds.
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
