"""Simulates load on the limits of one client account.

Entries admit requests up to their shares while entries are replaced, isolated
and paused, and while messages are delayed or lost.
"""

from __future__ import annotations

import collections
from collections import abc
import dataclasses
import itertools
import random

from bench import share_network
from godwitvalve.limits import account as account_limits
from godwitvalve.limits import model

ACCOUNT = 'portal'
LIMIT = model.AccountLimit(600.0, 1e9, 100_000)
WARM_UP_S = 20.0
DURATION_S = 180.0
WINDOW_S = 1.0


class EqualShares:
    """Baseline: the limit divided by the number of listed entries."""

    def __init__(
        self, entry_id: str, incarnation: int, started_s: float
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._count = 0

    def update_members(
        self, listed: abc.Iterable[str], requested_s: float, now_s: float
    ) -> None:
        """Count the listed entries."""
        self._count = len(frozenset(listed) | {self._entry_id})

    def make_report(
        self, demands: abc.Mapping[str, float], now_s: float
    ) -> model.DemandReport:
        """Return an empty report."""
        return model.DemandReport(
            self._entry_id, self._incarnation, 0, b'', 0, True, (), (), ()
        )

    def receive(self, report: model.DemandReport, now_s: float) -> None:
        """Ignore a report."""

    def set_uses(self, uses: abc.Mapping[str, model.AccountUse]) -> None:
        """Ignore the use of the accounts."""

    def mark_not_running(self, entry_id: str, now_s: float) -> None:
        """Ignore that an entry is not running."""

    def share(self, client_account: str, now_s: float) -> float:
        """Return an equal share for each listed entry."""
        return 1.0 / self._count if self._count else 0.0


class ProportionalShares(EqualShares):
    """Baseline: own fraction of the last reported demands, without leases."""

    def __init__(
        self, entry_id: str, incarnation: int, started_s: float
    ) -> None:
        super().__init__(entry_id, incarnation, started_s)
        self._own_demand = 0.0
        self._received_demands: dict[str, float] = {}

    def update_members(
        self, listed: abc.Iterable[str], requested_s: float, now_s: float
    ) -> None:
        """Set the listed entries and drop the demands of all others."""
        named = frozenset(listed)
        super().update_members(named, requested_s, now_s)
        self._received_demands = {
            name: demand
            for name, demand in self._received_demands.items()
            if name in named
        }

    def make_report(
        self, demands: abc.Mapping[str, float], now_s: float
    ) -> model.DemandReport:
        """Report the demand for the measured client account."""
        self._own_demand = demands.get(ACCOUNT, 0.0)
        own_demands = (model.AccountDemand(ACCOUNT, self._own_demand),)
        return (
            super().make_report(demands, now_s)._replace(demands=own_demands)
        )

    def receive(self, report: model.DemandReport, now_s: float) -> None:
        """Store the demand that another entry reported."""
        for item in report.demands:
            self._received_demands[report.origin] = item.demand

    def share(self, client_account: str, now_s: float) -> float:
        """Return this entry's fraction of the total demand."""
        total = self._own_demand + sum(self._received_demands.values())
        if total <= 0:
            return super().share(client_account, now_s)
        return self._own_demand / total


@dataclasses.dataclass
class LimitResult:
    """Requests of one run, as fractions of the limit.

    :param worst_window: most requests admitted within one second.
    :param mean: mean of the admitted requests.
    :param offered: mean of the offered requests.
    """

    worst_window: float
    mean: float
    offered: float


class LimitRun:
    """Offers load to simulated entries and counts the admitted requests.

    :param load_fractions: load offered to each entry, as a fraction of the
        limit; the list is rotated every 20 s.
    """

    def __init__(
        self,
        seed: int,
        make_shares: share_network.MakeShares,
        load_fractions: abc.Sequence[float],
    ) -> None:
        self.network = share_network.ShareNetwork(seed, make_shares)
        self._random = random.Random(seed)
        self._load_fractions = load_fractions
        self._limiters: dict[int, account_limits.AccountLimiter] = {}
        self._names = itertools.count()
        self._admitted: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        for _ in load_fractions:
            self.start()

    def start(self) -> None:
        """Start an entry whose list of entries lags by up to 2 s."""
        entry = self.network.start(f'e{next(self._names)}', 0.05)
        entry.list_lag_s = self._random.uniform(0, 2)

    def replace_one(self) -> None:
        """Stop an entry without a drain and start another one."""
        name = self._random.choice(sorted(self.network.entries))
        self.network.stop(name)
        self.network.set_listed(self.network.listed() - {name})
        self.start()

    def run(
        self, faults: abc.Mapping[float, abc.Callable[[], None]]
    ) -> LimitResult:
        """Run and inject faults.

        :param faults: functions by their time in seconds after the warm-up.
        """
        fault_times_s = sorted(faults)
        admitted = offered = 0
        window = worst = 0
        for now_s in self.network.run(WARM_UP_S + DURATION_S):
            while fault_times_s and now_s >= WARM_UP_S + fault_times_s[0]:
                faults[fault_times_s.pop(0)]()
            step_admitted, step_offered = self._step(now_s)
            if now_s < WARM_UP_S:
                continue
            admitted += step_admitted
            offered += step_offered
            window += step_admitted
            self._admitted.append((now_s, step_admitted))
            while self._admitted[0][0] <= now_s - WINDOW_S:
                window -= self._admitted.popleft()[1]
            worst = max(worst, window)
        per_s = LIMIT.requests_per_s
        limit = per_s * DURATION_S
        return LimitResult(
            worst / (per_s * WINDOW_S), admitted / limit, offered / limit
        )

    def _step(self, now_s: float) -> tuple[int, int]:
        admitted = offered = 0
        rotation = int(now_s // 20)
        entries = list(self.network.entries.values())
        for index, entry in enumerate(entries):
            fraction = self._load_fractions[
                (index + rotation) % len(self._load_fractions)
            ]
            if entry.paused:
                continue
            expected = fraction * LIMIT.requests_per_s * share_network.STEP_S
            requests = int(expected + self._random.random())
            offered += requests
            admitted += self._offer(entry, requests)
        return admitted, offered

    def _offer(self, entry: share_network.Entry, requests: int) -> int:
        clock_s = entry.clock_s(self.network.now_s)
        limiter = self._limiters.get(entry.incarnation)
        if limiter is None:
            limiter = account_limits.AccountLimiter(LIMIT, clock_s)
            self._limiters[entry.incarnation] = limiter
        share = entry.shares.share(ACCOUNT, clock_s)
        admitted = 0
        for _ in range(requests):
            limiter.record_request(1.0, clock_s)
            if limiter.try_admit(1.0, share, 100_000, clock_s) is None:
                limiter.finish(1.0, 1.0)
                admitted += 1
        entry.demands = {ACCOUNT: limiter.demand(clock_s)}
        return admitted
