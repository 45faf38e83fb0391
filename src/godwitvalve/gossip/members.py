"""Which entry instances are alive, by their own beats."""

from __future__ import annotations

from collections import abc
import heapq
import random
from typing import NamedTuple

import msgspec

from godwitvalve.fleet import endpoints
from godwitvalve.placement import choose
from godwitvalve.placement import speed
from godwitvalve.rollouts import news as rollout_news

SERVING = 0
STARTING = 1
LEAVING = 2

# Beats come every 0.25 s; three lost datagrams in a row are rare. An
# address that is dead costs its caller a second.
HEARTBEAT_TIMEOUT_S = 1.1
# In a large fleet 99 in 100 beats are heard within nine rounds, most of
# them through others.
RELAYED_HEARTBEAT_TIMEOUT_S = 2.5
# Up to this many others, each beat goes to all of them directly.
DIRECT_MEMBERS = 16
# Up to this many members hear of placements directly; a stream makes three
# such datagrams to each, 40 a second at an entry of the largest fleet here.
MAX_UPDATE_TARGETS = 96
# Beats a round in a larger fleet, and foreign records in each datagram:
# 6 datagrams of 1.2 KB four times a second. Bytes between failure domains
# are priced, so two of them leave the own domain.
FANOUT = 6
CROSS_DOMAIN_FANOUT = 2
RECORDS_PER_DATAGRAM = 8
# How often one entry passes a record on. With each of 87 entries passing
# it on three times it reaches all of them, and a last beat dies out.
RELAYS_PER_RECORD = 3
# Members without a beat for this long are forgotten.
RETENTION_S = 60.0


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What an entry instance says about itself.

    :param started_wall_ms: Unix milliseconds of its start.
    :param heartbeat: grows with each record of one start.
    :param peer_address: ``IP:port`` for datagrams.
    :param placements: streams, starting ones and backups by endpoint.
    :param sessions: endpoint of each running stream by its session.
    :param lost: endpoints that it lost within the last moments.
    :param provisional: endpoints that are used without being listed.
    :param speeds: pace of each service.
    :param rollouts: what it knows about the operator's orders.
    :param replaced: listed endpoints at whose address another one answers.
    """

    instance_id: str
    started_wall_ms: int
    heartbeat: int
    state: int
    caller_address: str
    peer_address: str
    failure_domain: str
    configuration_version: int
    placements: dict[str, tuple[int, int, int]] = {}
    replaced: list[tuple[str, int]] = []
    sessions: dict[str, str] = {}
    lost: list[str] = []
    provisional: list[endpoints.FleetEndpoint] = []
    speeds: dict[str, speed.SpeedEstimate] = {}
    rollouts: list[rollout_news.RolloutNews] = []

    @property
    def order(self) -> tuple[int, int]:
        """Return what tells newer records from older ones."""
        return self.started_wall_ms, self.heartbeat


class AgedRecord(NamedTuple):
    """A record and the milliseconds since its member sent it."""

    age_ms: int
    record: Record


class Members:
    """Newest record of each entry instance.

    :param own_id: this instance.
    :param own_domain: its failure domain.
    """

    def __init__(self, own_id: str, own_domain: str) -> None:
        self._own_id = own_id
        self._own_domain = own_domain
        self._records: dict[str, Record] = {}
        self._last_seen_s: dict[str, float] = {}
        # How often the newest record of each member was passed on.
        self._relay_counts: dict[str, int] = {}

    def merge(self, record: Record, now_s: float, age_s: float = 0.0) -> bool:
        """Take a record; tell whether it was news.

        :param age_s: how long ago the member itself sent it.
        """
        if record.instance_id == self._own_id:
            return False
        known = self._records.get(record.instance_id)
        if known is not None and record.order <= known.order:
            return False
        self._records[record.instance_id] = record
        self._last_seen_s[record.instance_id] = now_s - age_s
        self._relay_counts[record.instance_id] = 0
        return True

    def add_stored(self, record: Record) -> None:
        """Take a stored record, which says nothing about being alive."""
        if record.instance_id == self._own_id:
            return
        known = self._records.get(record.instance_id)
        if known is None or record.order > known.order:
            self._records[record.instance_id] = record
            self._last_seen_s.setdefault(record.instance_id, -RETENTION_S)

    @property
    def heartbeat_timeout_s(self) -> float:
        """Return how long a live member may be silent."""
        if len(self._records) <= DIRECT_MEMBERS:
            return HEARTBEAT_TIMEOUT_S
        return RELAYED_HEARTBEAT_TIMEOUT_S

    def alive(self, now_s: float) -> list[Record]:
        """Return the records of the others that beat."""
        oldest_s = now_s - self.heartbeat_timeout_s
        return [
            record
            for instance_id, record in self._records.items()
            if self._last_seen_s[instance_id] >= oldest_s
        ]

    def known_count(self) -> int:
        """Return how many others were ever heard of."""
        return len(self._records)

    def heartbeat_targets(self, rng: random.Random) -> list[str]:
        """Return where the next round of beats goes."""
        same_domain: list[str] = []
        other_domains: list[str] = []
        for each in self._records.values():
            is_own_domain = each.failure_domain == self._own_domain
            (same_domain if is_own_domain else other_domains).append(
                each.peer_address
            )
        if len(self._records) <= DIRECT_MEMBERS:
            return same_domain + other_domains
        other_count = max(
            min(CROSS_DOMAIN_FANOUT, len(other_domains)),
            FANOUT - len(same_domain),
        )
        return [
            *rng.sample(
                same_domain, min(FANOUT - other_count, len(same_domain))
            ),
            *rng.sample(other_domains, min(other_count, len(other_domains))),
        ]

    def update_targets(self, now_s: float, rng: random.Random) -> list[str]:
        """Return where news of placements go: to the live members.

        Load pattern: each of 58 entries starts a stream every three
        seconds; those who hear of a prompt a second later place the next
        one beside it.
        """
        addresses = [each.peer_address for each in self.alive(now_s)]
        if len(addresses) <= MAX_UPDATE_TARGETS:
            return addresses
        return rng.sample(addresses, MAX_UPDATE_TARGETS)

    def records_to_relay(
        self, now_s: float, rng: random.Random
    ) -> list[AgedRecord]:
        """Return records of others for one datagram.

        Those that were passed on least often come first, so that every
        beat is passed on by somebody within a round or two.
        """
        if len(self._records) <= DIRECT_MEMBERS:
            return []
        chosen = heapq.nsmallest(
            RECORDS_PER_DATAGRAM,
            (
                each
                for each, count in self._relay_counts.items()
                if count < RELAYS_PER_RECORD
            ),
            key=lambda each: (self._relay_counts[each], rng.random()),
        )
        for each in chosen:
            self._relay_counts[each] += 1
        return [
            AgedRecord(
                int((now_s - self._last_seen_s[each]) * 1000),
                self._records[each],
            )
            for each in chosen
        ]

    def remove_expired(self, now_s: float) -> None:
        """Forget members that have been silent for a minute."""
        expired = [
            instance_id
            for instance_id, last_seen_s in self._last_seen_s.items()
            if now_s - last_seen_s > 2 * RETENTION_S
        ]
        for instance_id in expired:
            del self._records[instance_id], self._last_seen_s[instance_id]
            self._relay_counts.pop(instance_id, None)


def total_placements(
    records: abc.Iterable[Record],
) -> dict[str, choose.Placements]:
    """Add up what other entries placed, by endpoint."""
    totals: dict[str, choose.Placements] = {}
    for record in records:
        for endpoint_id, placed in record.placements.items():
            before = totals.get(endpoint_id, choose.Placements())
            totals[endpoint_id] = choose.Placements(
                *(a + b for a, b in zip(before, placed))
            )
    return totals
