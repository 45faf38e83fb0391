"""Which entries an entry makes room for when it splits a limit."""

from __future__ import annotations

from collections import abc
import hashlib
import math

# After this time without a list that names it, or an acknowledgement by
# peers, an entry gives its base share up. The configuration slice stops
# admission after the same time.
CONFIRM_S = 10.0
# 8 s of assumed lag of the platform's list and CONFIRM_S by a clock that
# is 10% slow are 19 s; 24 s by one that is 10% fast are 21.8 s.
HOLD_S = 24.0


def digest(members: abc.Iterable[str]) -> bytes:
    """Return a short digest of a set of entries."""
    text = '\0'.join(sorted(members)).encode()
    return hashlib.blake2b(text, digest_size=8).digest()


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
        self._active = False
        self._gone_until_s: dict[str, float] = {}
        self._acknowledged: set[str] = set()
        self._heard_s: dict[str, float] = {}
        self.listed: frozenset[str] = frozenset({entry_id})
        self.digest = digest(self.listed)

    def update(
        self, listed: abc.Iterable[str], asked_s: float, now_s: float
    ) -> None:
        """Take a list.

        :param asked_s: when the list was asked for; an answer that waited
            while this process was paused confirms nothing since.
        """
        named = frozenset(listed)
        if self._entry_id in named:
            self._confirmed_s = max(self._confirmed_s, asked_s)
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

    def hear(self, origin: str, now_s: float) -> None:
        """Record that another entry sent a report."""
        self._heard_s[origin] = now_s

    def acknowledge(
        self, origin: str, members_digest: bytes, sent_s: float
    ) -> None:
        """Record that another entry counts this one.

        :param sent_s: when this entry sent the report that is
            acknowledged.
        """
        self._confirmed_s = max(self._confirmed_s, sent_s)
        if members_digest != self.digest or sent_s < self._waiting_since_s:
            return
        self._acknowledged.add(origin)

    def note_not_running(self, member: str) -> None:
        """Record that a member's peer address refuses connections."""
        self._acknowledged.add(member)

    def count(self, now_s: float) -> int:
        """Return the number of entries among which a limit is split."""
        lapsed = [
            gone
            for gone, until_s in self._gone_until_s.items()
            if until_s <= now_s
        ]
        for gone in lapsed:
            del self._gone_until_s[gone]
            self._heard_s.pop(gone, None)
        return len(self.listed) + len(self._gone_until_s)

    def is_active(self, now_s: float) -> bool:
        """Tell whether this entry may use a base share.

        Members that are listed later wait for this entry in turn, so a
        new list does not end it; only a missing confirmation does, for
        instance after a pause of this process.
        """
        if now_s - self._confirmed_s >= CONFIRM_S:
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

    def _makes_room(self, member: str, now_s: float) -> bool:
        if member in self._acknowledged:
            return True
        heard_s = self._heard_s.get(member, 0.0)
        return now_s - max(heard_s, self._waiting_since_s) >= HOLD_S
