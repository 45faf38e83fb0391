"""Loans that one entry makes in one report."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

from godwitvalve.limits import loans
from godwitvalve.limits import model
from godwitvalve.limits import split


class Peer(NamedTuple):
    """What the newest report of another entry said."""

    incarnation: int
    sequence: int
    heard_s: float
    active: bool
    demands: dict[str, float]
    wants_heard: bool = True


class Lender(NamedTuple):
    """The lending entry, the listed ones, and its base share."""

    entry_id: str
    listed: frozenset[str]
    base: float

    def grants(
        self,
        account: str,
        own_demand: float,
        fresh: abc.Mapping[str, Peer],
        lent: loans.Lent,
        now_s: float,
    ) -> abc.Iterator[model.Grant]:
        """Record the loans of one account and yield their grants.

        :param fresh: entries that were heard lately.
        """
        wanted = self._wanted(account, own_demand, fresh)
        kept = self.base * split.KEPT_OF_BASE
        free = max(0.0, self.base - kept - lent.reserved(now_s))
        for borrower, want in wanted.items():
            peer = fresh.get(borrower)
            if peer is None:
                continue
            held = lent.reserved_for(borrower, now_s)
            fraction = min(want, held + free)
            free -= max(0.0, fraction - held)
            if fraction < split.LEAST_LOAN:
                continue
            lent.lend(borrower, fraction, now_s)
            yield model.Grant(
                account,
                borrower,
                peer.incarnation,
                peer.sequence,
                fraction,
            )

    def _wanted(
        self, account: str, own_demand: float, fresh: abc.Mapping[str, Peer]
    ) -> dict[str, float]:
        demands = dict.fromkeys(sorted(self.listed), 0.0)
        for entry, peer in fresh.items():
            demands[entry] = peer.demands.get(account, 0.0)
        demands[self.entry_id] = own_demand
        without_base = {
            entry for entry, peer in fresh.items() if not peer.active
        }
        return split.loans(self.entry_id, demands, self.base, without_base)
