"""Shares of a limit lent and borrowed under leases."""

from __future__ import annotations

from typing import NamedTuple

# A lender keeps a loan reserved for this time after making it.
RESERVATION_S = 4.0
# The borrower's lease is shorter and starts earlier: 3.2 s by a clock that
# is 10% slow end before 4 s by one that is 10% fast.
LEASE_S = 3.2


class _OutgoingLoan(NamedTuple):
    fraction: float
    expires_s: float


class _IncomingLoan(NamedTuple):
    incarnation: int
    sequence: int
    fraction: float
    expires_s: float


class OutgoingLoans:
    """Loans of one account that this entry has made.

    A borrower uses one grant of a lender at a time, but may not have
    received the newest. So the largest unexpired grant stays reserved.
    """

    def __init__(self) -> None:
        self._loans: dict[str, list[_OutgoingLoan]] = {}

    def lend(self, borrower: str, fraction: float, now_s: float) -> None:
        """Record a loan that is about to be sent."""
        larger = [
            loan
            for loan in self._loans.get(borrower, [])
            if loan.expires_s > now_s and loan.fraction > fraction
        ]
        larger.append(_OutgoingLoan(fraction, now_s + RESERVATION_S))
        self._loans[borrower] = larger

    def lends_to(self, borrower: str) -> bool:
        """Tell whether a borrower may have an unexpired loan."""
        return borrower in self._loans

    def reserved_for(self, borrower: str, now_s: float) -> float:
        """Return the largest unexpired loan to a borrower."""
        return max(
            (
                loan.fraction
                for loan in self._loans.get(borrower, [])
                if loan.expires_s > now_s
            ),
            default=0.0,
        )

    def reserved(self, now_s: float) -> float:
        """Return the fraction of the limit that is lent."""
        expired = [
            borrower
            for borrower, items in self._loans.items()
            if all(loan.expires_s <= now_s for loan in items)
        ]
        for borrower in expired:
            del self._loans[borrower]
        return sum(
            self.reserved_for(borrower, now_s) for borrower in self._loans
        )


class IncomingLoans:
    """Loans of one account that this entry has received."""

    def __init__(self) -> None:
        self._loans: dict[str, _IncomingLoan] = {}

    def add(
        self,
        lender: str,
        incarnation: int,
        sequence: int,
        fraction: float,
        expires_s: float,
    ) -> None:
        """Add a grant unless a newer one of the lender is known."""
        newest = self._loans.get(lender)
        if newest and (newest.incarnation, newest.sequence) >= (
            incarnation,
            sequence,
        ):
            return
        self._loans[lender] = _IncomingLoan(
            incarnation, sequence, fraction, expires_s
        )

    def remove(self, lender: str) -> None:
        """Remove the loan of a lender."""
        self._loans.pop(lender, None)

    def usable(self, now_s: float) -> float:
        """Return the borrowed fraction of the limit that may be used."""
        return sum(
            loan.fraction
            for loan in self._loans.values()
            if loan.expires_s > now_s
        )

    def remove_expired(self, members: frozenset[str], now_s: float) -> None:
        """Remove expired loans of entries that are no longer listed."""
        self._loans = {
            lender: loan
            for lender, loan in self._loans.items()
            if lender in members or loan.expires_s > now_s
        }
