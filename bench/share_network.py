"""Simulates entries that exchange demand reports over a faulty network.

Times are in seconds of true time. Each entry has its own clock, which runs at
a different rate, and reads a list of entries that lags.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import heapq
import itertools
import random
from typing import Protocol

from godwitvalve.limits import model
from godwitvalve.limits import shares as account_shares

STEP_S = 0.05
LIST_INTERVAL_S = 1.0
REPORT_INTERVAL_S = 1.0


class Shares(Protocol):
    """Interface of ``AccountShares`` that the simulation uses."""

    def update_members(
        self, listed: abc.Iterable[str], requested_s: float, now_s: float
    ) -> None:
        """See ``AccountShares``."""

    def make_report(
        self, demands: abc.Mapping[str, float], now_s: float
    ) -> model.DemandReport:
        """See ``AccountShares``."""

    def receive(self, report: model.DemandReport, now_s: float) -> None:
        """See ``AccountShares``."""

    def set_uses(self, uses: abc.Mapping[str, model.AccountUse]) -> None:
        """See ``AccountShares``."""

    def mark_not_running(self, entry_id: str, now_s: float) -> None:
        """See ``AccountShares``."""

    def share(self, client_account: str, now_s: float) -> float:
        """See ``AccountShares``."""


MakeShares = abc.Callable[[str, int, float], Shares]


@dataclasses.dataclass
class Entry:
    """One simulated entry.

    :param rate: seconds of its clock per second of true time.
    """

    name: str
    incarnation: int
    rate: float
    offset_s: float
    list_lag_s: float
    shares: Shares
    next_report_s: float
    next_list_s: float
    paused: bool = False
    can_read_list: bool = True
    demands: dict[str, float] = dataclasses.field(default_factory=dict)
    uses: dict[str, model.AccountUse] = dataclasses.field(default_factory=dict)
    inbox: list[model.DemandReport] = dataclasses.field(default_factory=list)

    def clock_s(self, now_s: float) -> float:
        """Return the time on this entry's clock."""
        return self.offset_s + self.rate * now_s


@dataclasses.dataclass
class Faults:
    """Faults of the network between entries.

    :param loss: probability that a message is lost.
    :param delay_s: longest delay of a message.
    :param cut: pairs of entries that cannot reach each other.
    """

    loss: float = 0.0
    delay_s: float = 0.01
    cut: set[frozenset[str]] = dataclasses.field(default_factory=set)


class ShareNetwork:
    """Simulates the entries of one system.

    :param reports_refused: whether entries notice that the address of a
        stopped entry refuses connections.
    """

    def __init__(self, seed: int, make_shares: MakeShares) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.faults = Faults()
        self.entries: dict[str, Entry] = {}
        self.list_available = True
        self.reports_refused = True
        self._stopped: set[str] = set()
        self._make_shares = make_shares
        self._incarnations = itertools.count(1)
        self._order = itertools.count()
        self._listed: list[tuple[float, frozenset[str]]] = [
            (-1000.0, frozenset())
        ]
        self._messages: list[
            tuple[float, int, str, int, model.DemandReport]
        ] = []

    def start(self, name: str, max_rate_error: float = 0.0) -> Entry:
        """Start an entry and add it to the list.

        :param max_rate_error: largest deviation of its clock's rate from 1.
        """
        rate = 1 + self.random.uniform(-max_rate_error, max_rate_error)
        offset_s = self.random.uniform(0, 1e6)
        incarnation = next(self._incarnations)
        clock_s = offset_s + rate * self.now_s
        entry = Entry(
            name,
            incarnation,
            rate,
            offset_s,
            0.0,
            self._make_shares(name, incarnation, clock_s),
            self.now_s + self.random.uniform(0, REPORT_INTERVAL_S),
            self.now_s,
        )
        self.entries[name] = entry
        self._stopped.discard(name)
        self.set_listed(self.listed() | {name})
        return entry

    def stop(self, name: str) -> None:
        """Stop an entry without a drain and without removing it from the list.

        The others notice with their next report that its address refuses
        connections, unless ``reports_refused`` is false.
        """
        del self.entries[name]
        self._stopped.add(name)

    def set_listed(self, names: frozenset[str]) -> None:
        """Set the platform's list of entries."""
        self._listed.append((self.now_s, names))

    def listed(self) -> frozenset[str]:
        """Return the newest list."""
        return self._listed[-1][1]

    def isolate(self, names: abc.Collection[str]) -> None:
        """Partition a group of entries from all others."""
        self.faults.cut |= {
            frozenset((inside, outside))
            for inside in names
            for outside in self.entries
            if outside not in names
        }

    def heal(self) -> None:
        """Remove all partitions."""
        self.faults.cut.clear()

    def share(self, name: str, account: str) -> float:
        """Return the share that an entry has now, 0 if it is paused."""
        entry = self.entries[name]
        if entry.paused:
            return 0.0
        return entry.shares.share(account, entry.clock_s(self.now_s))

    def total(self, account: str) -> float:
        """Return the sum of the shares of the running entries."""
        return sum(self.share(name, account) for name in self.entries)

    def run(self, duration_s: float) -> abc.Iterator[float]:
        """Advance the time and yield it after each step."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._deliver()
            for entry in self.entries.values():
                if not entry.paused:
                    self._advance_entry(entry)
            yield self.now_s

    def _visible_list(self, entry: Entry) -> frozenset[str]:
        visible_until_s = self.now_s - entry.list_lag_s
        return next(
            names
            for since_s, names in reversed(self._listed)
            if since_s <= visible_until_s
        )

    def _advance_entry(self, entry: Entry) -> None:
        clock_s = entry.clock_s(self.now_s)
        for report in entry.inbox:
            entry.shares.receive(report, clock_s)
        entry.inbox.clear()
        readable = entry.can_read_list and self.list_available
        if readable and self.now_s >= entry.next_list_s:
            entry.next_list_s = self.now_s + LIST_INTERVAL_S
            listed = self._visible_list(entry)
            entry.shares.update_members(listed, clock_s, clock_s)
        if self.now_s >= entry.next_report_s:
            if self.reports_refused:
                self._mark_refused(entry, clock_s)
            entry.next_report_s = self.now_s + REPORT_INTERVAL_S / entry.rate
            entry.shares.set_uses(entry.uses)
            if self._may_skip(entry, clock_s):
                return
            report = entry.shares.make_report(entry.demands, clock_s)
            self._send(entry.name, report)

    def _mark_refused(self, entry: Entry, clock_s: float) -> None:
        """Mark the stopped entries that an entry can reach as not running."""
        for name in self._stopped:
            if frozenset((entry.name, name)) not in self.faults.cut:
                entry.shares.mark_not_running(name, clock_s)

    def _may_skip(self, entry: Entry, clock_s: float) -> bool:
        entry_shares = entry.shares
        return isinstance(
            entry_shares, account_shares.AccountShares
        ) and entry_shares.may_skip_report(entry.demands, clock_s)

    def _send(self, sender: str, report: model.DemandReport) -> None:
        for receiver, entry in self.entries.items():
            if receiver == sender:
                continue
            if self.random.random() < self.faults.loss:
                continue
            delay_s = self.random.uniform(0, self.faults.delay_s)
            message = (
                self.now_s + delay_s,
                next(self._order),
                receiver,
                entry.incarnation,
                report,
            )
            heapq.heappush(self._messages, message)

    def _deliver(self) -> None:
        while self._messages and self._messages[0][0] <= self.now_s:
            _, _, receiver, incarnation, report = heapq.heappop(self._messages)
            entry = self.entries.get(receiver)
            if entry is None or entry.incarnation != incarnation:
                continue
            if frozenset((receiver, report.origin)) not in self.faults.cut:
                entry.inbox.append(report)
