"""Tracks the revision in force at this entry and when it was confirmed.

An entry receives revisions in three ways: it reads the head row, a peer
announces a head, or a peer reports its known revision. Revisions only grow.
A confirmation states that a revision was the accepted one at some moment;
the entry may admit work for ``CONFIRM_LIMIT_S`` after the last confirmation
of the revision that is in force here.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math
from typing import NamedTuple, TypeAlias

from godwitvalve.configuration import last_seen_table
from godwitvalve.text import head as text_head

# Section 4.9: an entry without a confirmation for this long rejects new work.
CONFIRM_LIMIT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Ignore:
    """The head is not newer than the one in force or the pending one."""


@dataclasses.dataclass(frozen=True)
class FetchParts:
    """The head is newer and becomes the pending one.

    :param hashes: content hashes of parts that are not in force here.
    """

    head: text_head.Head
    hashes: frozenset[str]


OfferOutcome: TypeAlias = Ignore | FetchParts


class PeerFreshness(NamedTuple):
    """A peer's report about its configuration.

    :param instance_id: the peer.
    :param revision: revision in force at the peer.
    :param confirmed_age_s: seconds since the peer's revision was last
        confirmed by the store, directly or through other entries; None if
        never.
    :param report_age_s: seconds since the peer sent the report.
    """

    instance_id: str
    revision: int
    confirmed_age_s: float | None
    report_age_s: float


class OwnFreshness(NamedTuple):
    """Revision in force and confirmation age that this entry reports."""

    revision: int
    confirmed_age_s: float | None


class ConfigurationTracker:
    """State about revisions, without I/O; all times are monotonic seconds.

    :param instance_id: this entry.
    :param confirm_limit_s: seconds for which a confirmation is valid.
    """

    def __init__(
        self, instance_id: str, confirm_limit_s: float = CONFIRM_LIMIT_S
    ) -> None:
        self._instance_id = instance_id
        self._confirm_limit_s = confirm_limit_s
        self._in_force: text_head.Head | None = None
        self._pending: text_head.Head | None = None
        self._known_revision = 0
        self._superseded_at_s = math.inf
        self._confirmed: dict[int, float] = {}
        self._last_seen = last_seen_table.LastSeenTable(instance_id)
        self._listed: frozenset[str] = frozenset()

    @property
    def revision(self) -> int:
        """Revision in force here, 0 if none."""
        return self._in_force.revision if self._in_force else 0

    @property
    def head(self) -> text_head.Head | None:
        """Head in force here."""
        return self._in_force

    @property
    def pending(self) -> text_head.Head | None:
        """Newest offered head that is not in force yet."""
        return self._pending

    @property
    def known_revision(self) -> int:
        """Highest revision that is known to be accepted."""
        return self._known_revision

    def _record_accepted(self, revision: int, now_s: float) -> None:
        """Record that a revision was accepted."""
        self._known_revision = max(self._known_revision, revision)
        if self._known_revision > self.revision:
            self._superseded_at_s = min(self._superseded_at_s, now_s)

    def offer(self, head: text_head.Head, now_s: float) -> OfferOutcome:
        """Process a head from the store or a peer."""
        self._record_accepted(head.revision, now_s)
        newest = self._pending or self._in_force
        if newest is not None and head.revision <= newest.revision:
            return Ignore()
        self._pending = head
        return FetchParts(head, self.missing(head))

    def missing(self, head: text_head.Head) -> frozenset[str]:
        """Return the hashes of a head's parts that are not in force."""
        present = self._in_force.parts.values() if self._in_force else ()
        return frozenset(head.parts.values()) - frozenset(present)

    def install(self, head: text_head.Head) -> bool:
        """Put a head in force after all its parts were fetched and parsed.

        :returns: False, with no effect, if it is not newer than the one in
            force.
        """
        if head.revision <= self.revision:
            return False
        self._in_force = head
        self._known_revision = max(self._known_revision, head.revision)
        if self._pending and self._pending.revision <= head.revision:
            self._pending = None
        if self._known_revision == head.revision:
            self._superseded_at_s = math.inf
        self._prune()
        return True

    def _prune(self) -> None:
        self._confirmed = {
            revision: at_s
            for revision, at_s in self._confirmed.items()
            if revision in (self.revision, self._known_revision)
        }

    def _confirm(self, revision: int, at_s: float) -> None:
        if revision < self.revision:
            return
        earlier_s = self._confirmed.get(revision, -math.inf)
        self._confirmed[revision] = max(earlier_s, at_s)
        self._prune()

    def confirm_by_store(
        self, revision: int, requested_at_s: float, now_s: float
    ) -> None:
        """Record that the store answered with a revision.

        :param requested_at_s: when the read was sent; the row may have changed
            at any later moment.
        """
        self._record_accepted(revision, now_s)
        self._confirm(revision, requested_at_s)

    def apply_peer_report(self, report: PeerFreshness, now_s: float) -> None:
        """Record a peer's report about its configuration."""
        at_s = now_s - max(report.report_age_s, 0.0)
        self._last_seen.record(report.instance_id, at_s)
        self._record_accepted(report.revision, now_s)
        if report.confirmed_age_s is not None:
            age_s = max(report.confirmed_age_s, 0.0)
            self._confirm(report.revision, at_s - age_s)

    def merge_last_seen(
        self,
        known_revision: int,
        ages: last_seen_table.EncodedAges,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Merge the ages of the other entries that a peer sent.

        :param known_revision: highest revision that the peer knows to be
            accepted. It covers the revisions reported by the entries of the
            table, so an entry with a higher revision ends the confirmation
            by a majority at each entry that counts it.
        :param sent_s: not later than the moment at which the peer sent them.
        :returns: whether the ages could be decoded.
        """
        self._record_accepted(known_revision, now_s)
        return self._last_seen.merge(ages, sent_s)

    @property
    def last_seen(self) -> last_seen_table.LastSeenTable:
        """Last-seen times of the other entries."""
        return self._last_seen

    @property
    def listed_count(self) -> int:
        """Number of live entries in the platform's list."""
        return len(self._listed)

    def set_listed(self, instance_ids: Iterable[str]) -> None:
        """Replace the ids of the live entries listed by the platform."""
        self._listed = frozenset(instance_ids)
        self._last_seen.set_listed(self._listed)

    def majority_seen_at_s(self) -> float:
        """Return the last moment since which a majority has been seen.

        A majority is more than half of the listed entries including this
        one. The moment is not later than the first report of a higher
        revision: from then on the revision in force here is out of date.
        """
        if not self._listed:
            return -math.inf
        entries = self._listed | {self._instance_id}
        times = sorted(
            (
                at_s
                for instance_id, at_s in self._last_seen.times().items()
                if instance_id in entries and instance_id != self._instance_id
            ),
            reverse=True,
        )
        needed = len(entries) // 2
        if needed == 0 or len(times) < needed:
            return -math.inf
        return min(times[needed - 1], self._superseded_at_s)

    def confirmed_at_s(self) -> float:
        """Return when the revision in force was last confirmed."""
        return max(
            self._confirmed.get(self.revision, -math.inf),
            self.majority_seen_at_s(),
        )

    def may_admit(self, now_s: float) -> bool:
        """Tell whether new work may be admitted."""
        if self._in_force is None:
            return False
        return now_s - self.confirmed_at_s() <= self._confirm_limit_s

    def freshness(self, now_s: float) -> OwnFreshness:
        """Return the report to send to peers.

        Only confirmations that originate from the store are reported:
        otherwise two entries could keep confirming each other.
        """
        at_s = self._confirmed.get(self.revision)
        age_s = None if at_s is None else max(now_s - at_s, 0.0)
        return OwnFreshness(self.revision, age_s)
