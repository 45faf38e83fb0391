"""Share of each client account's limit that this entry may use."""

from __future__ import annotations

from collections import abc
import dataclasses
import math

from godwitvalve.limits import exchange
from godwitvalve.limits import lending
from godwitvalve.limits import loans
from godwitvalve.limits import members as member_lists
from godwitvalve.limits import model
from godwitvalve.limits import report_throttle
from godwitvalve.limits import split

REPORT_INTERVAL_S = 1.0
_MAX_ROUND_UP_OF_BASE = 0.99
_NO_USE = model.AccountUse(0.0, 0)


@dataclasses.dataclass
class _AccountLoans:
    lent: loans.OutgoingLoans = dataclasses.field(
        default_factory=loans.OutgoingLoans
    )
    borrowed: loans.IncomingLoans = dataclasses.field(
        default_factory=loans.IncomingLoans
    )


class AccountShares:
    """Splits limits among entries without a leader.

    Each entry owns the base share ``limit / entries`` and lends what it
    does not need to entries that need more. A loan is a lease: the lender
    keeps it reserved until its own deadline, and the borrower's lease
    expires before that. Without messages each entry falls back to its
    base share.

    :param incarnation: distinguishes this process from earlier ones of
        the same entry id; it must increase with each start.
    """

    def __init__(
        self, entry_id: str, incarnation: int, started_s: float
    ) -> None:
        self._entry_id = entry_id
        self._members = member_lists.Members(entry_id, started_s)
        self._acknowledged_digest = self._members.digest
        self._exchange = exchange.ReportExchange(incarnation)
        self._accounts: dict[str, _AccountLoans] = {}
        self._uses: dict[str, model.AccountUse] = {}
        self._throttle = report_throttle.ReportThrottle()

    def update_members(
        self, listed: abc.Iterable[str], requested_s: float, now_s: float
    ) -> None:
        """Apply the list of entries.

        :param requested_s: when the list was requested.
        """
        self._members.update(listed, requested_s, now_s)
        for account_loans in self._accounts.values():
            account_loans.borrowed.remove_expired(self._members.listed, now_s)
        self._exchange.remove_unlisted(self._members.listed, now_s)

    def mark_not_running(self, entry_id: str, now_s: float) -> None:
        """Record that an entry's peer address refuses connections.

        Only a refused connection proves that no process listens there; a
        timeout or a reset does not. An entry must listen as long as it
        admits requests.
        """
        self._members.mark_not_running(entry_id, now_s)

    def is_active(self, now_s: float) -> bool:
        """Tell whether this entry may use a base share."""
        return self._members.is_active(now_s)

    def base(self, now_s: float) -> float:
        """Return the base share, or 0 while this entry may not use one."""
        if not self._members.is_active(now_s):
            return 0.0
        return 1.0 / self._members.count(now_s)

    def share(self, client_account: str, now_s: float) -> float:
        """Return the fraction of an account's limit that may be used now."""
        base = self.base(now_s)
        account_loans = self._accounts.get(client_account)
        if account_loans is None:
            return base
        own = max(0.0, base - account_loans.lent.reserved(now_s))
        return own + account_loans.borrowed.usable(now_s)

    def units(self, client_account: str, limit: int, now_s: float) -> int:
        """Return the whole units of a limit that this entry may use.

        Each entry rounds up by at most 0.99 of its base share. The base
        shares sum up to at most 1, so the units of all entries together
        do not exceed the limit.
        """
        share = self.share(client_account, now_s)
        rounding = _MAX_ROUND_UP_OF_BASE * self.base(now_s)
        return math.floor(limit * share + rounding)

    def set_uses(self, uses: abc.Mapping[str, model.AccountUse]) -> None:
        """Set the requests in flight, for the next report."""
        self._uses = dict(uses)

    def make_report(
        self, demands: abc.Mapping[str, float], now_s: float
    ) -> model.DemandReport:
        """Return the report to send now, and record the loans it grants.

        :param demands: offered load of each account at this entry, as a
            fraction of the account's limit.
        """
        self._exchange.begin_report(now_s)
        self._members.confirm_if_alone(now_s)
        base = self.base(now_s)
        grants = tuple(self._grants(demands, base, now_s))
        self._acknowledge_list(now_s)
        report = model.DemandReport(
            self._entry_id,
            self._exchange.incarnation,
            self._exchange.sequence,
            self._acknowledged_digest,
            self._members.own_count(now_s),
            base > 0,
            self._exchange.acknowledgements(self._members.listed),
            tuple(
                model.AccountDemand(account, demand, self._use(account).in_use)
                for account, demand in demands.items()
                if demand >= split.MIN_LOAN
            ),
            grants,
            self._members.wants_acknowledgement(now_s),
        )
        self._throttle.record_sent(report, now_s)
        return report

    def may_skip_report(
        self, demands: abc.Mapping[str, float], now_s: float
    ) -> bool:
        """Tell whether a report now would contain nothing new."""
        listed = self._members.listed
        peers = self._exchange.interested(listed, now_s)
        return self._throttle.may_skip(
            self._members.digest, len(listed), demands, peers, now_s
        )

    def receive(self, report: model.DemandReport, now_s: float) -> None:
        """Apply a report of another entry unless a newer one is known."""
        if not self._exchange.is_new(report):
            return
        if self._exchange.is_restart(report):
            self._remove_loans_from(report.origin)
        self._exchange.record_received(report, now_s)
        self._members.record_report(report.origin, report.counted, now_s)
        self._apply_acknowledgements(report)
        for grant in report.grants:
            self._apply_grant(report, grant)

    def _apply_acknowledgements(self, report: model.DemandReport) -> None:
        for acknowledgement in report.acknowledgements:
            if acknowledgement.entry_id != self._entry_id:
                continue
            sent_s = self._exchange.sent_s(
                acknowledgement.incarnation, acknowledgement.sequence
            )
            if sent_s is not None:
                self._members.acknowledge(
                    report.origin, report.members_digest, sent_s
                )

    def _apply_grant(
        self, report: model.DemandReport, grant: model.Grant
    ) -> None:
        if grant.borrower != self._entry_id:
            return
        sent_s = self._exchange.sent_s(
            grant.borrower_incarnation, grant.borrower_sequence
        )
        if sent_s is None:
            return
        account_loans = self._accounts.setdefault(
            grant.client_account, _AccountLoans()
        )
        account_loans.borrowed.add(
            report.origin,
            report.incarnation,
            report.sequence,
            grant.fraction,
            sent_s + loans.LEASE_S,
        )

    def _remove_loans_from(self, lender: str) -> None:
        # The restarted lender does not know its earlier loans.
        for account_loans in self._accounts.values():
            account_loans.borrowed.remove(lender)

    def _use(self, account: str) -> model.AccountUse:
        return self._uses.get(account, _NO_USE)

    def _acknowledge_list(self, now_s: float) -> None:
        """Acknowledge the newest list once loans fit into the base share."""
        if self._acknowledged_digest == self._members.digest:
            return
        base = 1.0 / self._members.count(now_s)
        fits = all(
            account_loans.lent.reserved(now_s) <= base + 1e-9
            for account_loans in self._accounts.values()
        )
        if fits:
            self._acknowledged_digest = self._members.digest

    def _grants(
        self, demands: abc.Mapping[str, float], base: float, now_s: float
    ) -> abc.Iterator[model.Grant]:
        if not base:
            return
        fresh = self._exchange.fresh(self._members.listed, now_s)
        accounts = {
            account for peer in fresh.values() for account in peer.demands
        }
        accounts |= {
            account
            for account, use in self._uses.items()
            if split.is_small(use.units, len(self._members.listed))
        }
        lender = lending.Lender(self._entry_id, self._members.listed, base)
        for account in sorted(accounts):
            use = self._use(account)
            if not lender.may_be_needed(account, use, fresh):
                continue
            account_loans = self._accounts.setdefault(account, _AccountLoans())
            own = lending.OwnState(
                demands.get(account, 0.0), self.share(account, now_s), use
            )
            yield from lender.grants(
                account, own, fresh, account_loans.lent, now_s
            )
