"""Entries among which an entry splits a limit."""

from __future__ import annotations

from collections import abc
import hashlib
import math
from typing import NamedTuple

from godwitvalve.limits import loans

# An entry stops using its base share after this time without a list that
# names it or acknowledgements by peers. Admission stops after the same time
# without a confirmed configuration.
CONFIRMATION_TIMEOUT_S = 10.0
# An entry that has read the list within this time needs no
# acknowledgements. The rest of CONFIRMATION_TIMEOUT_S leaves time for two
# reports in transit.
LIST_FRESH_S = 5.0
# Must exceed the platform list's assumed lag of 8 s plus
# CONFIRMATION_TIMEOUT_S. With clock rates 10% off, that sum takes up to
# 19 s and this timeout lasts at least 21.8 s.
MEMBER_TIMEOUT_S = 24.0


def digest(members: abc.Iterable[str]) -> bytes:
    """Return a short digest of a set of entries."""
    text = '\0'.join(sorted(members)).encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class _LastReport(NamedTuple):
    received_s: float
    counted: int


class Members:
    """Listed entries, and unlisted ones that may still be admitting.

    The base shares sum up to at most the limit if each entry that uses
    one is counted by every other entry that uses one. So an entry counts
    a member for ``MEMBER_TIMEOUT_S`` after it was removed from the list.
    It uses a base share only once every listed member has acknowledged
    the same list, is known not to run, or has been unresponsive for
    ``MEMBER_TIMEOUT_S``.

    :param started_s: when this entry began to exchange reports.
    """

    def __init__(self, entry_id: str, started_s: float) -> None:
        self._entry_id = entry_id
        self._waiting_since_s = started_s
        # An entry not named by a list cannot know which others admit.
        self._confirmed_s = -math.inf
        self._is_listed = False
        self._active = False
        self._counted_until_s: dict[str, float] = {}
        self._acknowledged: set[str] = set()
        self._last_reports: dict[str, _LastReport] = {}
        self._acknowledged_s: dict[str, float] = {}
        self.listed: frozenset[str] = frozenset({entry_id})
        self.digest = digest(self.listed)

    def update(
        self, listed: abc.Iterable[str], requested_s: float, now_s: float
    ) -> None:
        """Apply a newly read list.

        :param requested_s: when the list was requested. A response that
            waited while this process was paused confirms no later time.
        """
        named = frozenset(listed)
        self._is_listed = self._entry_id in named
        if self._is_listed:
            self._confirmed_s = max(self._confirmed_s, requested_s)
        members = named | {self._entry_id}
        if members == self.listed:
            return
        for unlisted in self.listed - members:
            self._counted_until_s[unlisted] = now_s + MEMBER_TIMEOUT_S
        for relisted in members & self._counted_until_s.keys():
            del self._counted_until_s[relisted]
        self.listed = members
        self.digest = digest(members)
        self._acknowledged.clear()

    def record_report(self, origin: str, counted: int, now_s: float) -> None:
        """Record that another entry sent a report.

        :param counted: number of entries that it counts; it may still
            count one that was unlisted before this entry started.
        """
        self._last_reports[origin] = _LastReport(now_s, counted)

    def acknowledge(
        self, origin: str, members_digest: bytes, sent_s: float
    ) -> None:
        """Record that another entry counts this one.

        :param sent_s: when this entry sent the report that is
            acknowledged.
        """
        known_s = self._acknowledged_s.get(origin, -math.inf)
        self._acknowledged_s[origin] = max(known_s, sent_s)
        if members_digest != self.digest or sent_s < self._waiting_since_s:
            return
        self._acknowledged.add(origin)

    def confirm_if_alone(self, now_s: float) -> None:
        """Renew the confirmation of an entry that is the only listed one.

        It is its own majority and stays active while the list is
        unavailable, but not after a pause of this process.
        """
        is_alone = self._is_listed and len(self.listed) == 1
        if is_alone and now_s - self._confirmed_s < CONFIRMATION_TIMEOUT_S:
            self._confirmed_s = now_s

    def mark_not_running(self, member: str, now_s: float) -> None:
        """Record that a member's peer address refuses connections.

        Borrowers use its loans until they expire, so an unlisted member
        stays counted for that time.
        """
        if member in self.listed:
            self._acknowledged.add(member)
        counted_until_s = self._counted_until_s.get(member)
        if counted_until_s is not None:
            until_s = now_s + loans.RESERVATION_S
            self._counted_until_s[member] = min(counted_until_s, until_s)

    def count(self, now_s: float) -> int:
        """Return the number of entries among which a limit is split."""
        counted = self.own_count(now_s)
        for report in self._last_reports.values():
            if now_s - report.received_s < MEMBER_TIMEOUT_S:
                counted = max(counted, report.counted)
        return counted

    def own_count(self, now_s: float) -> int:
        """Return the number of entries that this entry counts itself."""
        expired = [
            unlisted
            for unlisted, until_s in self._counted_until_s.items()
            if until_s <= now_s
        ]
        for unlisted in expired:
            del self._counted_until_s[unlisted]
            self._last_reports.pop(unlisted, None)
            self._acknowledged_s.pop(unlisted, None)
        return len(self.listed) + len(self._counted_until_s)

    def is_active(self, now_s: float) -> bool:
        """Tell whether this entry may use a base share.

        A new list does not end the use, because members listed later
        wait for this entry. Only a missing confirmation does, for
        instance after a pause of this process.
        """
        if now_s - self._last_confirmed_s() >= CONFIRMATION_TIMEOUT_S:
            if self._active:
                self._active = False
                self._waiting_since_s = now_s
                self._acknowledged.clear()
            return False
        if not self._active:
            self._active = all(
                self._permits_base_share(member, now_s)
                for member in self.listed
                if member != self._entry_id
            )
        return self._active

    def wants_acknowledgement(self, now_s: float) -> bool:
        """Tell whether this entry needs acknowledgements by others."""
        is_fresh = now_s - self._confirmed_s < LIST_FRESH_S
        return not is_fresh or not self.is_active(now_s)

    def _last_confirmed_s(self) -> float:
        """Return when the list or a majority last confirmed this entry.

        A minority partitioned from the list must not confirm itself
        while the others stop counting it.
        """
        if self._confirmed_s == -math.inf:
            return self._confirmed_s
        others_needed = len(self.listed) // 2
        if not others_needed:
            return self._confirmed_s
        acknowledged_s = sorted(
            (self._acknowledged_s.get(member, -math.inf))
            for member in self.listed
            if member != self._entry_id
        )
        return max(self._confirmed_s, acknowledged_s[-others_needed])

    def _permits_base_share(self, member: str, now_s: float) -> bool:
        """Tell whether a member counts this entry or is not running."""
        if member in self._acknowledged:
            return True
        unresponsive_since_s = self._waiting_since_s
        if member in self._last_reports:
            received_s = self._last_reports[member].received_s
            unresponsive_since_s = max(unresponsive_since_s, received_s)
        return now_s - unresponsive_since_s >= MEMBER_TIMEOUT_S
