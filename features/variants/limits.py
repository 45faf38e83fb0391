"""Reference implementations of limits, and variants without one rule."""

from __future__ import annotations

import collections

from godwitvalve.limits import loans
from godwitvalve.limits import queue
from godwitvalve.limits import shares


class FirstComeFirstServed(queue.AdmissionQueue):
    """Queue that serves requests in order of arrival."""

    def __init__(self, now_s):
        super().__init__(now_s)
        self._arrived = collections.deque()

    def offer(self, request, now_s):
        """Queue every request."""
        self._arrived.append(request)
        return queue.Queued(now_s)

    def take(self, now_s):
        """Return the oldest request."""
        return self._arrived.popleft() if self._arrived else None


class NaiveRoundRobin:
    """Deficit round robin over lists that visits one account per step."""

    def __init__(self, weights):
        self._weights = weights
        self._order = []
        self._queues = {}
        self._deficits = {}

    def offer(self, request):
        """Append a request to its account's list."""
        account = request.client_account
        if account not in self._order:
            self._order.append(account)
            self._queues[account] = []
            self._deficits[account] = 0.0
        self._queues[account].append(request)

    def take(self):
        """Visit accounts until the deficit of one covers its first request."""
        while self._order:
            account = self._order[0]
            first = self._queues[account][0]
            if self._deficits[account] < first.cost_tokens:
                quantum = queue.QUANTUM_TOKENS * self._weights[account]
                self._deficits[account] += quantum
                self._order = self._order[1:] + [account]
                continue
            self._deficits[account] -= first.cost_tokens
            self._queues[account].remove(first)
            if not self._queues[account]:
                self._order.remove(account)
            return first
        return None


def naive_targets(demands, base):
    """Assign the limit in small equal steps to entries with unmet demand."""
    steps = 20_000
    step = base * len(demands) / steps
    wanted = {name: max(d, base * 0.1) for name, d in demands.items()}
    given = dict.fromkeys(demands, 0.0)
    remaining = steps
    while remaining > 0:
        short = [n for n in sorted(given) if given[n] < wanted[n] - step / 2]
        for name in (short or sorted(given))[:remaining]:
            given[name] += step
            remaining -= 1
    return given


class WithoutFallback(shares.AccountShares):
    """Shares whose loans do not expire at the borrower."""

    def share(self, client_account, now_s):
        """Return the share including all loans ever received."""
        account_loans = self._accounts.get(client_account)
        if account_loans is None:
            return self.base(now_s)
        own = max(0.0, self.base(now_s) - account_loans.lent.reserved(now_s))
        return own + sum(
            loan.fraction for loan in account_loans.borrowed._loans.values()
        )


class WithoutReservation(shares.AccountShares):
    """Shares whose lender does not wait for the end of a lease."""

    def share(self, client_account, now_s):
        """Return the share with loans reserved for half a second only."""
        account_loans = self._accounts.get(client_account)
        if account_loans is None:
            return self.base(now_s)
        later_s = now_s + loans.RESERVATION_S - 0.5
        own = max(0.0, self.base(now_s) - account_loans.lent.reserved(later_s))
        return own + account_loans.borrowed.usable(now_s)


class WithoutWaiting(shares.AccountShares):
    """Shares that use a base share without waiting for acknowledgements."""

    def base(self, now_s):
        """Return the base share according to this entry's own list."""
        return 1.0 / len(self._members.listed)


class WithoutWholeUnits(shares.AccountShares):
    """Shares that split small concurrency limits like rates."""

    def set_uses(self, uses):
        """Ignore the concurrency limits."""


class FixedShares(shares.AccountShares):
    """Shares that never follow the demand."""

    def share(self, client_account, now_s):
        """Return the base share."""
        return self.base(now_s)
