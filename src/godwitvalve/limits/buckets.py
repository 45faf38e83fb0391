"""Token buckets whose rate follows the local share."""

from __future__ import annotations

# Burst that a share may save up, in seconds of its rate. The sum over
# entries in any second is then at most 1.25 times the limit.
BURST_S = 0.25
MIN_BURST = 1.0


class TokenBucket:
    """Bucket that may be overdrawn by one request.

    A request is admitted while the balance is positive, whatever it
    costs, so that one that costs more than the burst is not refused for
    ever. The debt delays the next one.
    """

    def __init__(self, now_s: float) -> None:
        self._balance = 0.0
        self._filled_s = now_s
        self._started = False

    def fill(self, rate_per_s: float, now_s: float) -> None:
        """Add what the rate gave since the last call."""
        burst = max(MIN_BURST, rate_per_s * BURST_S)
        refill = rate_per_s * max(0.0, now_s - self._filled_s)
        # Full at first: a request after a quiet time is not refused.
        if not self._started:
            self._started = True
            refill = burst
        self._balance = min(self._balance + refill, burst)
        self._filled_s = now_s

    def can_take(self, amount: float) -> bool:
        """Tell whether a request of this cost is admitted now."""
        return self._balance >= min(amount, MIN_BURST) - 1e-9

    def take(self, amount: float) -> None:
        """Take the cost of an admitted request; give back if negative."""
        self._balance -= amount

    def ready_s(self, amount: float, rate_per_s: float, now_s: float) -> float:
        """Return when a request of this cost would be admitted.

        :returns: infinity if the rate is 0.
        """
        missing = min(amount, MIN_BURST) - self._balance
        if missing <= 0:
            return now_s
        if rate_per_s <= 0:
            return float('inf')
        return now_s + missing / rate_per_s
