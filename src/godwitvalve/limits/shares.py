"""Share of each client account's limit that this entry may use."""

from __future__ import annotations

import collections
from collections import abc
import dataclasses

from godwitvalve.limits import lending
from godwitvalve.limits import loans as loan_books
from godwitvalve.limits import members as member_lists
from godwitvalve.limits import model
from godwitvalve.limits import pace

REPORT_INTERVAL_S = 1.0
# Two reports may be missed before an entry's demand counts as unknown.
DEMAND_FRESH_S = 3.0
# Reports whose send time is remembered; more than a lease can span.
_REMEMBERED_REPORTS = 64


@dataclasses.dataclass
class _Books:
    lent: loan_books.Lent = dataclasses.field(default_factory=loan_books.Lent)
    borrowed: loan_books.Borrowed = dataclasses.field(
        default_factory=loan_books.Borrowed
    )


class AccountShares:
    """Splits limits among entries without a leader.

    Each entry owns the base share ``limit / entries`` and lends what it
    does not need to entries that need more. A loan is a lease: the lender
    keeps it reserved until its own deadline, and the borrower's deadline
    lies before that. Without messages each entry falls back to its base
    share.

    :param incarnation: distinguishes this process from earlier ones of
        the same entry id; it must grow.
    """

    def __init__(
        self, entry_id: str, incarnation: int, started_s: float
    ) -> None:
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._members = member_lists.Members(entry_id, started_s)
        self._acknowledged_digest = self._members.digest
        self._sequence = 0
        self._sent_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._peers: dict[str, lending.Peer] = {}
        self._accounts: dict[str, _Books] = {}
        self._pace = pace.ReportPace()

    def update_members(
        self, listed: abc.Iterable[str], asked_s: float, now_s: float
    ) -> None:
        """Take the listed entries.

        :param asked_s: when the list was asked for.
        """
        self._members.update(listed, asked_s, now_s)
        for books in self._accounts.values():
            books.borrowed.forget(self._members.listed, now_s)
        kept = self._members.listed
        self._peers = {
            entry: peer
            for entry, peer in self._peers.items()
            if entry in kept or now_s - peer.heard_s < DEMAND_FRESH_S
        }

    def note_not_running(self, entry_id: str) -> None:
        """Record that an entry's peer address refuses connections."""
        self._members.note_not_running(entry_id)

    def is_active(self, now_s: float) -> bool:
        """Tell whether the other entries have made room for this one."""
        return self._members.is_active(now_s)

    def base(self, now_s: float) -> float:
        """Return the base share, or 0 while others make room for it."""
        if not self._members.is_active(now_s):
            return 0.0
        return 1.0 / self._members.count(now_s)

    def share(self, client_account: str, now_s: float) -> float:
        """Return the fraction of an account's limit to use now."""
        base = self.base(now_s)
        books = self._accounts.get(client_account)
        if books is None:
            return base
        own = max(0.0, base - books.lent.reserved(now_s))
        return own + books.borrowed.usable(now_s)

    def make_report(
        self, demands: abc.Mapping[str, float], now_s: float
    ) -> model.DemandReport:
        """Return the report to send now, and record the loans it makes.

        :param demands: offered load of each account at this entry, as a
            fraction of the account's limit.
        """
        self._sequence += 1
        self._sent_s[self._sequence] = now_s
        if len(self._sent_s) > _REMEMBERED_REPORTS:
            self._sent_s.popitem(last=False)
        self._members.note_running(now_s)
        base = self.base(now_s)
        grants = tuple(self._grants(demands, base, now_s))
        self._acknowledge_list(now_s)
        report = model.DemandReport(
            self._entry_id,
            self._incarnation,
            self._sequence,
            self._acknowledged_digest,
            self._members.own_count(now_s),
            base > 0,
            self._heard(),
            tuple(
                model.AccountDemand(account, demand)
                for account, demand in demands.items()
                if demand > pace.LEAST_DEMAND
            ),
            grants,
            self._members.wants_acknowledgement(now_s),
        )
        self._pace.note(report, now_s)
        return report

    def may_skip_report(
        self, demands: abc.Mapping[str, float], now_s: float
    ) -> bool:
        """Tell whether a report now would say nothing new."""
        listed = self._members.listed
        # Demand that is no longer fresh gets no loans.
        peers = [
            peer
            for entry, peer in self._peers.items()
            if entry in listed
            and (peer.wants_heard or now_s - peer.heard_s < DEMAND_FRESH_S)
        ]
        return self._pace.may_skip(
            self._members.digest, len(listed), demands, peers, now_s
        )

    def receive(self, report: model.DemandReport, now_s: float) -> None:
        """Take a report of another entry; older ones are ignored."""
        known = self._peers.get(report.origin)
        stamp = (report.incarnation, report.sequence)
        if known and stamp <= (known.incarnation, known.sequence):
            return
        if known and known.incarnation != report.incarnation:
            self._drop_loans_of(report.origin)
        self._members.hear(report.origin, report.counted, now_s)
        self._peers[report.origin] = lending.Peer(
            report.incarnation,
            report.sequence,
            now_s,
            report.active,
            {item.client_account: item.demand for item in report.demands},
            report.wants_heard,
        )
        self._take_acknowledgement(report)
        for grant in report.grants:
            self._take_grant(report, grant)

    def _take_acknowledgement(self, report: model.DemandReport) -> None:
        for heard in report.heard:
            if heard.entry_id != self._entry_id:
                continue
            sent_s = self._sent_s.get(heard.sequence)
            if heard.incarnation == self._incarnation and sent_s is not None:
                self._members.acknowledge(
                    report.origin, report.members_digest, sent_s
                )

    def _take_grant(
        self, report: model.DemandReport, grant: model.Grant
    ) -> None:
        if grant.borrower != self._entry_id:
            return
        sent_s = self._sent_s.get(grant.borrower_sequence)
        if grant.borrower_incarnation != self._incarnation or sent_s is None:
            return
        books = self._accounts.setdefault(grant.client_account, _Books())
        books.borrowed.receive(
            report.origin,
            report.incarnation,
            report.sequence,
            grant.fraction,
            sent_s + loan_books.BORROWED_FOR_S,
        )

    def _drop_loans_of(self, lender: str) -> None:
        # The new process does not know what the old one lent.
        for books in self._accounts.values():
            books.borrowed.drop(lender)

    def _heard(self) -> tuple[model.Heard, ...]:
        return tuple(
            model.Heard(entry, peer.incarnation, peer.sequence)
            for entry, peer in self._peers.items()
            if entry in self._members.listed and peer.wants_heard
        )

    def _acknowledge_list(self, now_s: float) -> None:
        """Acknowledge the list once loans fit into the base share."""
        base = 1.0 / self._members.count(now_s)
        fits = all(
            books.lent.reserved(now_s) <= base + 1e-9
            for books in self._accounts.values()
        )
        if fits:
            self._acknowledged_digest = self._members.digest

    def _grants(
        self, demands: abc.Mapping[str, float], base: float, now_s: float
    ) -> abc.Iterator[model.Grant]:
        if not base:
            return
        fresh = {
            entry: peer
            for entry, peer in self._peers.items()
            if now_s - peer.heard_s < DEMAND_FRESH_S
            and entry in self._members.listed
        }
        accounts = {
            account for peer in fresh.values() for account in peer.demands
        }
        lender = lending.Lender(self._entry_id, self._members.listed, base)
        for account in sorted(accounts):
            books = self._accounts.setdefault(account, _Books())
            own = demands.get(account, 0.0)
            yield from lender.grants(account, own, fresh, books.lent, now_s)
