"""When each other entry was last seen, and a compact encoding of the ages.

A last-seen time is never later than the moment at which the entry was alive
and reported its state. Ages are rounded up, so forwarding a table can only
make an entry seem older.
"""

from __future__ import annotations

from collections import abc
import math
from typing import NamedTuple

from godwitvalve.configuration import member_lists

# One byte of these steps covers the 10 s for which a last-seen time counts.
# Rounding adds up to one step at each hop, so a coarser step would make
# entries seem older.
STEP_S = 0.05
_NEVER = 255


class EncodedAges(NamedTuple):
    """Ages of entries in the order of a list.

    :param order_digest: digest of the list, or empty if ``names`` gives the
        order.
    :param ages: one byte per entry, in steps of ``STEP_S``.
    """

    order_digest: bytes
    ages: bytes
    names: tuple[str, ...]


class LastSeenTable:
    """Newest known last-seen time of each listed entry.

    Merging takes the later time, so the order and the number of deliveries
    do not matter.
    """

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._at_s: dict[str, float] = {}
        self._lists = member_lists.MemberLists()

    @property
    def list_digest(self) -> bytes:
        """Digest of this entry's current list."""
        return self._lists.digest

    def knows(self, list_digest: bytes) -> bool:
        """Tell whether this entry knows the list with a digest."""
        return self._lists.find(list_digest) is not None

    def set_listed(self, instance_ids: abc.Iterable[str]) -> None:
        """Replace the list and remove the times of unlisted entries."""
        self._lists.update(instance_ids)
        self._at_s = {
            name: self._at_s[name]
            for name in self._lists.names
            if name in self._at_s
        }

    def record(self, instance_id: str, at_s: float) -> None:
        """Record that an entry was alive at some time."""
        if at_s > self._at_s.get(instance_id, -math.inf):
            self._at_s[instance_id] = at_s

    def times(self) -> abc.Mapping[str, float]:
        """Return the last-seen times by instance id."""
        return self._at_s

    def encode(self, peer_digest: bytes, now_s: float) -> EncodedAges:
        """Return the ages for a peer.

        :param peer_digest: digest of the peer's list in its last message;
            its order is used if this entry knows that list too.
        """
        if not self.knows(peer_digest):
            peer_digest = self._lists.digest
        names = self._lists.find(peer_digest) or ()
        return EncodedAges(peer_digest, self._ages(names, now_s), ())

    def encode_by_name(self, now_s: float) -> EncodedAges:
        """Return the ages for a peer that shares no list with this entry."""
        names = self._lists.names
        return EncodedAges(b'', self._ages(names, now_s), names)

    def _ages(self, names: abc.Sequence[str], now_s: float) -> bytes:
        own = self._own_id
        get = self._at_s.get
        return bytes(
            0 if name == own else _step(now_s - get(name, -math.inf))
            for name in names
        )

    def merge(self, encoded: EncodedAges, sent_s: float) -> bool:
        """Merge the ages that a peer sent.

        :param sent_s: time on this entry's clock that is not later than
            the moment at which the peer sent them.
        :returns: False, with no effect, if the order is not known here or
            the number of ages does not match it.
        """
        names: abc.Sequence[str] | None = encoded.names
        if encoded.order_digest:
            names = self._lists.find(encoded.order_digest)
        if names is None or len(names) != len(encoded.ages):
            return False
        listed = set(self._lists.names) - {self._own_id}
        for name, step in zip(names, encoded.ages):
            if step != _NEVER and name in listed:
                self.record(name, sent_s - step * STEP_S)
        return True


def _step(age_s: float) -> int:
    """Return an age rounded up to steps, or ``_NEVER`` if it is too old."""
    if age_s >= _NEVER * STEP_S:
        return _NEVER
    return min(int(max(age_s, 0.0) / STEP_S) + 1, _NEVER)
