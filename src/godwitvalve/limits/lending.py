"""Loans that one entry grants in one report."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

from godwitvalve.limits import loans
from godwitvalve.limits import model
from godwitvalve.limits import split

# An entry whose demand is below this fraction of its base share needs no
# loan.
LOAN_THRESHOLD_OF_BASE = 0.5


class PeerState(NamedTuple):
    """State of another entry by its newest report."""

    incarnation: int
    sequence: int
    received_s: float
    active: bool
    demands: dict[str, model.AccountDemand]
    wants_acknowledgements: bool = True

    def demand(self, account: str) -> float:
        """Return the demand of an account, 0 if not reported."""
        known = self.demands.get(account)
        return known.demand if known else 0.0

    def in_use(self, account: str) -> float:
        """Return the fraction of the concurrency limit in flight."""
        known = self.demands.get(account)
        return known.in_use if known else 0.0


class OwnState(NamedTuple):
    """State of one account at the lending entry.

    :param share: share that it may use now, borrowed shares included.
    """

    demand: float
    share: float
    use: model.AccountUse


class Lender(NamedTuple):
    """The lending entry, its base share and the listed entries."""

    entry_id: str
    listed: frozenset[str]
    base: float

    def may_be_needed(
        self,
        account: str,
        use: model.AccountUse,
        fresh: abc.Mapping[str, PeerState],
    ) -> bool:
        """Tell whether any entry may need a loan for an account."""
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

        :param fresh: entries whose newest report is fresh.
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
        """Return the fraction that may be lent beyond existing loans.

        The share in use by requests in flight at this entry is not lent,
        because the borrower would admit on top of them.
        """
        min_own = 0.0 if small else self.base * split.MIN_OWN_OF_BASE
        unused = own.share - own.use.in_use
        return max(0.0, min(self.base - min_own - reserved, unused))

    def _borrowed_in_use(self, account: str, peer: PeerState) -> float:
        """Return what an entry has in flight beyond its base share.

        A loan is renewed up to this amount, because requests in flight
        are not aborted.
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
