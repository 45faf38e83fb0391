"""Membership of entry instances, from the platform's list and gossip."""

from __future__ import annotations

from collections import abc
import secrets
from typing import NamedTuple

from godwitvalve.peers import handshake
from godwitvalve.peers import messages
from godwitvalve.store import port as store_port

LIVE = 'live'
LEAVING = 'leaving'
GONE = 'gone'
_RANK = {LIVE: 0, LEAVING: 1, GONE: 2}
# The platform's list lags, so a fact about an instance may arrive before the
# instance is listed.
UNLISTED_GRACE_S = 30.0
MAX_MEMBERS = 2048
_RANDOM_BITS = 20


def new_incarnation(now_wall_s: float) -> int:
    """Return an incarnation number, higher than those of earlier starts.

    :param now_wall_s: start time in Unix seconds.
    """
    start_ms = int(now_wall_s * 1000)
    return start_ms << _RANDOM_BITS | secrets.randbits(_RANDOM_BITS)


class Member(NamedTuple):
    """An entry instance.

    :param incarnation: 0 while it is unknown.
    """

    instance_id: str
    incarnation: int
    state: str
    address: str
    peer_address: str
    failure_domain: str


class _ReceivedFact(NamedTuple):
    fact: messages.MemberFact
    since_s: float


class Membership:
    """Merges the platform's list with facts received by gossip.

    Merging facts is commutative and idempotent.

    :param own: fact about this incarnation.
    """

    def __init__(self, own: messages.MemberFact) -> None:
        self.own = own
        self.is_superseded = False
        self._received: dict[str, _ReceivedFact] = {}
        self._listed: dict[str, store_port.ListedInstance] = {}
        self._was_listed: set[str] = set()
        self._listed_as_leaving: dict[str, int] = {}

    def leave(self) -> messages.MemberFact:
        """Mark this instance as leaving and return the fact to send."""
        self.own = self.own._replace(state=LEAVING)
        return self.own

    def update_listed(
        self, listed: abc.Iterable[store_port.ListedInstance]
    ) -> None:
        """Replace the platform's list with its current content."""
        self._listed = {
            each.instance_id: each
            for each in listed
            if each.kind == 'entry'
            and each.instance_id != self.own.instance_id
        }
        self._was_listed |= set(self._listed)
        self._was_listed &= set(self._listed) | set(self._received)
        for instance_id, each in self._listed.items():
            if each.state == LIVE:
                self._listed_as_leaving.pop(instance_id, None)
                continue
            # Applies to the incarnation known now only: the list may still
            # show the predecessor as leaving after its replacement has
            # started.
            self._listed_as_leaving.setdefault(
                instance_id, self._incarnation(instance_id)
            )

    def apply(self, fact: messages.MemberFact, now_s: float) -> bool:
        """Merge a fact.

        :param now_s: monotonic seconds.
        :returns: whether the fact was new and should be forwarded.
        """
        if fact.state not in _RANK:
            return False
        if fact.instance_id == self.own.instance_id:
            newer = fact.incarnation > self.own.incarnation
            is_new = newer and not self.is_superseded
            self.is_superseded = self.is_superseded or newer
            return is_new
        known = self._received.get(fact.instance_id)
        if known is None:
            if len(self._received) >= MAX_MEMBERS and not self._evict_one(
                now_s
            ):
                return False
            self._received[fact.instance_id] = _ReceivedFact(fact, now_s)
            return True
        if not _replaces(fact, known.fact):
            return False
        is_restart = fact.incarnation > known.fact.incarnation
        since_s = now_s if is_restart else known.since_s
        if is_restart and fact.instance_id not in self._listed:
            self._was_listed.discard(fact.instance_id)
        self._received[fact.instance_id] = _ReceivedFact(fact, since_s)
        return True

    def members(self, now_s: float) -> list[Member]:
        """Return the live and leaving instances, this one included.

        :param now_s: monotonic seconds.
        """
        found = [Member(*self.own)]
        for instance_id in sorted(set(self._listed) | set(self._received)):
            member = self._member(instance_id, now_s)
            if member is not None:
                found.append(member)
        return found

    def find(self, instance_id: str, now_s: float) -> Member | None:
        """Return a live or leaving instance, or None.

        :param now_s: monotonic seconds.
        """
        if instance_id == self.own.instance_id:
            return Member(*self.own)
        return self._member(instance_id, now_s)

    def find_superseding(
        self, hello: handshake.Hello
    ) -> messages.MemberFact | None:
        """Return the fact about a newer incarnation than that of a peer.

        :returns: None if no newer incarnation is known.
        """
        known = self._received.get(hello.instance_id)
        if hello.instance_id == self.own.instance_id:
            is_older = hello.incarnation < self.own.incarnation
            return self.own if is_older else None
        if known is None or known.fact.incarnation <= hello.incarnation:
            return None
        return known.fact

    def facts(self) -> list[messages.MemberFact]:
        """Return all facts, to be sent to a newly connected peer."""
        return [self.own, *(each.fact for each in self._received.values())]

    def peer_addresses(self, instance_id: str) -> list[str]:
        """Return the addresses to dial, from gossip and from the list."""
        found = []
        if instance_id in self._received:
            found.append(self._received[instance_id].fact.peer_address)
        if instance_id in self._listed:
            found.append(self._listed[instance_id].peer_address)
        return list(dict.fromkeys(found))

    def _incarnation(self, instance_id: str) -> int:
        known = self._received.get(instance_id)
        return known.fact.incarnation if known else 0

    def _member(self, instance_id: str, now_s: float) -> Member | None:
        known = self._received.get(instance_id)
        listed = self._listed.get(instance_id)
        if known is None:
            return _listed_member(listed) if listed else None
        if known.fact.state == GONE:
            return None
        if listed is None:
            grace_ends_s = known.since_s + UNLISTED_GRACE_S
            if instance_id in self._was_listed or now_s >= grace_ends_s:
                return None
        member = Member(*known.fact)
        leaving_incarnation = self._listed_as_leaving.get(instance_id)
        if leaving_incarnation is not None and leaving_incarnation in (
            0,
            known.fact.incarnation,
        ):
            return member._replace(state=LEAVING)
        return member

    def _evict_one(self, now_s: float) -> bool:
        for instance_id in list(self._received):
            if self._member(instance_id, now_s) is None:
                del self._received[instance_id]
                return True
        return False


def _replaces(fact: messages.MemberFact, known: messages.MemberFact) -> bool:
    if fact.incarnation != known.incarnation:
        return fact.incarnation > known.incarnation
    return _RANK[fact.state] > _RANK[known.state]


def _listed_member(listed: store_port.ListedInstance) -> Member:
    return Member(
        listed.instance_id,
        0,
        listed.state,
        listed.address,
        listed.peer_address,
        listed.failure_domain,
    )
