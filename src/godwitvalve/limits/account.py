"""Limits of one client account as applied at this entry."""

from __future__ import annotations

from godwitvalve.limits import buckets
from godwitvalve.limits import demand as meters
from godwitvalve.limits import model
from godwitvalve.outcomes import codes


class AccountLimiter:
    """Limits rate and concurrency of one account to this entry's share."""

    def __init__(self, limit: model.AccountLimit, now_s: float) -> None:
        self.limit = limit
        self.in_flight = 0
        self._requests = buckets.TokenBucket(now_s)
        self._tokens = buckets.TokenBucket(now_s)
        self._offered_requests = meters.DemandMeter(now_s)
        self._offered_tokens = meters.DemandMeter(now_s)
        self._refused_concurrent = meters.DemandMeter(now_s)

    def record_request(self, cost_tokens: float, now_s: float) -> None:
        """Count a request as demand, whether or not it is admitted."""
        self._offered_requests.add(1.0, now_s)
        self._offered_tokens.add(cost_tokens, now_s)

    def demand(self, now_s: float) -> float:
        """Return the offered load as a fraction of the whole limit."""
        limit = self.limit
        requests_per_s = self._offered_requests.rate_per_s(now_s)
        tokens_per_s = self._offered_tokens.rate_per_s(now_s)
        return max(
            _ratio(requests_per_s, limit.requests_per_s),
            _ratio(tokens_per_s, limit.tokens_per_s),
            _ratio(self._wanted_concurrent(now_s), limit.concurrent),
        )

    def use(self) -> model.AccountUse:
        """Return the requests in flight, for the next report."""
        limit = self.limit.concurrent
        return model.AccountUse(_ratio(self.in_flight, limit), limit)

    def try_admit(
        self,
        cost_tokens: float,
        share: float,
        concurrent: int,
        now_s: float,
    ) -> codes.ResultCode | None:
        """Admit a request, or return the code of the limit it exceeds.

        :param share: fraction of the rates that this entry may use.
        :param concurrent: requests that may be in flight at this entry.
        """
        self._fill(share, now_s)
        if self.in_flight >= concurrent:
            self._refused_concurrent.add(1.0, now_s)
            return codes.ResultCode.ACCOUNT_CONCURRENCY_LIMIT
        fits = self._requests.can_take(1.0)
        if not fits or not self._tokens.can_take(cost_tokens):
            return codes.ResultCode.ACCOUNT_RATE_LIMIT
        self._requests.take(1.0)
        self._tokens.take(cost_tokens)
        self.in_flight += 1
        return None

    def ready_s(self, cost_tokens: float, share: float, now_s: float) -> float:
        """Return when the rate limits would admit a request of this cost."""
        limit = self.limit
        return max(
            self._requests.ready_s(1.0, limit.requests_per_s * share, now_s),
            self._tokens.ready_s(
                cost_tokens, limit.tokens_per_s * share, now_s
            ),
        )

    def refund(self, cost_tokens: float) -> None:
        """Undo ``try_admit`` for a request that was refused later."""
        self.in_flight -= 1
        self._requests.take(-1.0)
        self._tokens.take(-cost_tokens)

    def finish(self, cost_tokens: float, used_tokens: float) -> None:
        """End a request and replace its estimated cost by the actual one."""
        self.in_flight -= 1
        self._tokens.take(used_tokens - cost_tokens)

    def _wanted_concurrent(self, now_s: float) -> float:
        # Bounded by the limit, since retries are counted again.
        refused = self._refused_concurrent.rate_per_s(now_s)
        return min(self.in_flight + refused, self.limit.concurrent)

    def _fill(self, share: float, now_s: float) -> None:
        self._requests.fill(self.limit.requests_per_s * share, now_s)
        self._tokens.fill(self.limit.tokens_per_s * share, now_s)


def _ratio(amount: float, limit: float) -> float:
    return amount / limit if limit > 0 else 0.0
