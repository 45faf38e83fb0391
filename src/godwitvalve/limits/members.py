"""Which entries an entry makes room for when it splits a limit."""

from __future__ import annotations

from collections import abc
import hashlib
import math
from typing import NamedTuple

from godwitvalve.limits import loans

# After this time without a list that names it, or an acknowledgement by
# peers, an entry gives its base share up. The configuration slice stops
# admission after the same time.
CONFIRM_S = 10.0
# An entry that has read the list within this time needs no acknowledgement.
# The rest of CONFIRM_S is enough for two reports on their way.
LIST_FRESH_S = 5.0
# 8 s of assumed lag of the platform's list and CONFIRM_S by a clock that
# is 10% slow are 19 s; 24 s by one that is 10% fast are 21.8 s.
HOLD_S = 24.0


def digest(members: abc.Iterable[str]) -> bytes:
    """Return a short digest of a set of entries."""
    text = '\0'.join(sorted(members)).encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class _Heard(NamedTuple):
    heard_s: float
    counted: int


class Members:
    """Listed entries, and unlisted ones that may still be admitting.

    The sum of the base shares stays at most the limit if each entry that
    uses one is counted by every other entry that uses one. So an entry
    counts a member for ``HOLD_S`` after it left the list, and uses a base
    share only once every listed member has acknowledged the same list, is
    known not to run, or has been silent for ``HOLD_S``.

    :param started_s: when this entry began to exchange reports.
    """

    def __init__(self, entry_id: str, started_s: float) -> None:
        self._entry_id = entry_id
        self._waiting_since_s = started_s
        # Without a list that names it an entry cannot know who else admits.
        self._confirmed_s = -math.inf
        self._named = False
        self._active = False
        self._gone_until_s: dict[str, float] = {}
        self._acknowledged: set[str] = set()
        self._heard: dict[str, _Heard] = {}
        self._acknowledged_s: dict[str, float] = {}
        self.listed: frozenset[str] = frozenset({entry_id})
        self.digest = digest(self.listed)

    def update(
        self, listed: abc.Iterable[str], requested_s: float, now_s: float
    ) -> None:
        """Take a list.

        :param requested_s: when the list was asked for; an answer that waited
            while this process was paused confirms nothing since.
        """
        named = frozenset(listed)
        self._named = self._entry_id in named
        if self._named:
            self._confirmed_s = max(self._confirmed_s, requested_s)
        members = named | {self._entry_id}
        if members == self.listed:
            return
        for gone in self.listed - members:
            self._gone_until_s[gone] = now_s + HOLD_S
        for back in members & self._gone_until_s.keys():
            del self._gone_until_s[back]
        self.listed = members
        self.digest = digest(members)
        self._acknowledged.clear()

    def hear(self, origin: str, counted: int, now_s: float) -> None:
        """Record that another entry sent a report.

        :param counted: entries that it counts; it may still count one
            that left the list before this entry started.
        """
        self._heard[origin] = _Heard(now_s, counted)

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

    def note_running(self, now_s: float) -> None:
        """Confirm an entry that is the only listed one.

        It is its own majority and goes on while the list is unavailable,
        but not after a pause of this process.
        """
        alone = self._named and len(self.listed) == 1
        if alone and now_s - self._confirmed_s < CONFIRM_S:
            self._confirmed_s = now_s

    def mark_not_running(self, member: str, now_s: float) -> None:
        """Record that a member's peer address refuses connections.

        What it lent is used until those loans have lapsed.
        """
        if member in self.listed:
            self._acknowledged.add(member)
        held_s = self._gone_until_s.get(member)
        if held_s is not None:
            until_s = now_s + loans.LENT_FOR_S
            self._gone_until_s[member] = min(held_s, until_s)

    def count(self, now_s: float) -> int:
        """Return the number of entries among which a limit is split."""
        counted = self.own_count(now_s)
        for heard in self._heard.values():
            if now_s - heard.heard_s < HOLD_S:
                counted = max(counted, heard.counted)
        return counted

    def own_count(self, now_s: float) -> int:
        """Return the entries counted by this entry's own list."""
        lapsed = [
            gone
            for gone, until_s in self._gone_until_s.items()
            if until_s <= now_s
        ]
        for gone in lapsed:
            del self._gone_until_s[gone]
            self._heard.pop(gone, None)
            self._acknowledged_s.pop(gone, None)
        return len(self.listed) + len(self._gone_until_s)

    def is_active(self, now_s: float) -> bool:
        """Tell whether this entry may use a base share.

        Members that are listed later wait for this entry in turn, so a
        new list does not end it; only a missing confirmation does, for
        instance after a pause of this process.
        """
        if now_s - self._last_confirmed_s() >= CONFIRM_S:
            if self._active:
                self._active = False
                self._waiting_since_s = now_s
                self._acknowledged.clear()
            return False
        if not self._active:
            self._active = all(
                self._makes_room(member, now_s)
                for member in self.listed
                if member != self._entry_id
            )
        return self._active

    def wants_acknowledgement(self, now_s: float) -> bool:
        """Tell whether this entry depends on acknowledgements by others."""
        is_fresh = now_s - self._confirmed_s < LIST_FRESH_S
        return not is_fresh or not self.is_active(now_s)

    def _last_confirmed_s(self) -> float:
        """Return when the list or a majority last named this entry.

        A minority that is cut off from the list must not confirm itself
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

    def _makes_room(self, member: str, now_s: float) -> bool:
        if member in self._acknowledged:
            return True
        silent_since_s = self._waiting_since_s
        if member in self._heard:
            heard_s = self._heard[member].heard_s
            silent_since_s = max(silent_since_s, heard_s)
        return now_s - silent_since_s >= HOLD_S
