"""Token buckets whose rate follows this entry's share."""

from __future__ import annotations

# Burst in seconds of the rate. All entries together then admit at most
# 1.25 times the limit in any second.
BURST_S = 0.25
MIN_BURST = 1.0


class TokenBucket:
    """Token bucket that one request may overdraw.

    A request whose cost exceeds the burst would otherwise always be
    refused. It is admitted once the balance reaches ``MIN_BURST``, and
    the debt delays the next request.

    :param starts_full: whether the burst is admitted at once, so that the
        first requests are not refused.
    :param min_burst: tokens that are kept at low rates, at least
        ``MIN_BURST``.
    """

    def __init__(
        self,
        now_s: float,
        starts_full: bool = True,
        min_burst: float = MIN_BURST,
    ) -> None:
        self._min_burst = min_burst
        self._balance = 0.0
        self._filled_s = now_s
        self._started = not starts_full

    def fill(self, rate_per_s: float, now_s: float) -> None:
        """Add the tokens earned since the last call."""
        burst = max(self._min_burst, rate_per_s * BURST_S)
        refill = rate_per_s * max(0.0, now_s - self._filled_s)
        if not self._started:
            self._started = True
            refill = burst
        self._balance = min(self._balance + refill, burst)
        self._filled_s = now_s

    def can_take(self, amount: float) -> bool:
        """Tell whether a request of this cost is admitted now."""
        return self._balance >= min(amount, MIN_BURST) - 1e-9

    def take(self, amount: float) -> None:
        """Take the cost of an admitted request; a negative one is a refund."""
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
