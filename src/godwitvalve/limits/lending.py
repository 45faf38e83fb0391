"""Loans that one entry makes in one report."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

from godwitvalve.limits import loans
from godwitvalve.limits import model
from godwitvalve.limits import split

# An entry that uses less than this part of its base share needs no loan.
LOAN_THRESHOLD_OF_BASE = 0.5


class PeerState(NamedTuple):
    """What the newest report of another entry said."""

    incarnation: int
    sequence: int
    received_s: float
    active: bool
    demands: dict[str, model.AccountDemand]
    wants_acknowledgements: bool = True

    def demand(self, account: str) -> float:
        """Return the demand for an account."""
        known = self.demands.get(account)
        return known.demand if known else 0.0

    def in_use(self, account: str) -> float:
        """Return the part of the concurrency limit that is in flight."""
        known = self.demands.get(account)
        return known.in_use if known else 0.0


class OwnState(NamedTuple):
    """What the lending entry knows of its own part of an account.

    :param share: share that it may use now, borrowed parts included.
    """

    demand: float
    share: float
    use: model.AccountUse


class Lender(NamedTuple):
    """The lending entry, the listed ones, and its base share."""

    entry_id: str
    listed: frozenset[str]
    base: float

    def may_be_needed(
        self,
        account: str,
        use: model.AccountUse,
        fresh: abc.Mapping[str, PeerState],
    ) -> bool:
        """Tell whether any entry may need a loan of an account."""
        return self._is_small(use) or any(
            self._may_need_loan(account, peer) for peer in fresh.values()
        )

    def grants(
        self,
        account: str,
        own: OwnState,
        fresh: abc.Mapping[str, PeerState],
        lent: loans.OutgoingLoans,
        now_s: float,
    ) -> abc.Iterator[model.Grant]:
        """Record the loans of one account and yield their grants.

        :param fresh: entries that were heard lately.
        """
        small = self._is_small(own.use)
        wanted = self._wanted_loans(account, own, fresh, small)
        lendable = self._lendable(own, lent.reserved(now_s), small)
        for borrower, peer in fresh.items():
            if borrower not in wanted and not lent.lends_to(borrower):
                continue
            reserved = lent.reserved_for(borrower, now_s)
            in_use = self._borrowed_in_use(account, peer)
            wanted_fraction = max(
                wanted.get(borrower, 0.0), min(reserved, in_use)
            )
            fraction = min(wanted_fraction, reserved + lendable)
            if fraction < split.MIN_LOAN:
                continue
            lendable -= max(0.0, fraction - reserved)
            lent.lend(borrower, fraction, now_s)
            yield model.Grant(
                account,
                borrower,
                peer.incarnation,
                peer.sequence,
                fraction,
            )

    def _is_small(self, use: model.AccountUse) -> bool:
        return split.is_small(use.units, len(self.listed))

    def _lendable(self, own: OwnState, reserved: float, small: bool) -> float:
        """Return what may be lent on top of the present loans.

        What is in flight here is not lent: the borrower would admit on
        top of it.
        """
        min_own = 0.0 if small else self.base * split.MIN_OWN_OF_BASE
        unused = own.share - own.use.in_use
        return max(0.0, min(self.base - min_own - reserved, unused))

    def _borrowed_in_use(self, account: str, peer: PeerState) -> float:
        """Return what an entry has in flight beyond its base share.

        A loan is kept up that far, because requests in flight are not
        cut.
        """
        own_base = self.base if peer.active else 0.0
        return max(0.0, peer.in_use(account) - own_base)

    def _may_need_loan(self, account: str, peer: PeerState) -> bool:
        """Tell whether an entry may soon need more than its base share."""
        own_base = self.base if peer.active else 0.0
        return peer.demand(account) > own_base * LOAN_THRESHOLD_OF_BASE

    def _wanted_loans(
        self,
        account: str,
        own: OwnState,
        fresh: abc.Mapping[str, PeerState],
        small: bool,
    ) -> dict[str, float]:
        demands = dict.fromkeys(sorted(self.listed), 0.0)
        for entry, peer in fresh.items():
            demands[entry] = peer.demand(account)
        demands[self.entry_id] = own.demand
        without_base = {
            entry for entry, peer in fresh.items() if not peer.active
        }
        if small:
            shares = split.whole_units(
                account, demands, self.base, own.use.units
            )
        else:
            shares = split.targets(demands, self.base)
        return split.loans(self.entry_id, shares, self.base, without_base)
