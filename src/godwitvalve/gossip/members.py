"""Membership of entry instances, detected by heartbeats."""

from __future__ import annotations

import collections
from collections import abc
import heapq
import random
from typing import NamedTuple

import msgspec

from godwitvalve.decoding import bounds
from godwitvalve.endpoint_limits import reports as limit_reports
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import revisions
from godwitvalve.placement import choose
from godwitvalve.placement import speed
from godwitvalve.quarantine import reports as quarantine_reports
from godwitvalve.rollouts import reports as rollout_reports

SERVING = 0
STARTING = 1
LEAVING = 2

# Heartbeats are sent every 0.25 s, and three consecutive losses are rare. A
# caller that is given the address of a dead entry loses a second.
HEARTBEAT_TIMEOUT_S = 1.1
# In a large fleet 99 % of the heartbeats arrive within nine rounds, most of
# them relayed.
RELAYED_HEARTBEAT_TIMEOUT_S = 2.5
# Up to this many other members, each heartbeat is sent to all of them.
DIRECT_MEMBERS = 16
# Up to this many members receive placement updates directly. A stream causes
# three such datagrams to each, 40 a second at an entry of the largest fleet.
MAX_UPDATE_TARGETS = 96
# Heartbeats per round in a larger fleet, and relayed records per datagram:
# 6 datagrams of 1.2 KB four times a second. Traffic between failure domains
# is billed, so only two of them leave the own domain.
FANOUT = 6
CROSS_DOMAIN_FANOUT = 2
RECORDS_PER_DATAGRAM = 8
# How often one entry relays a record. Three times suffice to reach all of 87
# entries, and the limit ends the spread of a last heartbeat.
RELAYS_PER_RECORD = 3
# For this long a member without heartbeats may be partitioned from this entry
# rather than gone.
RECENT_S = 30.0
# Members without a heartbeat are removed after twice this period.
RETENTION_S = 60.0


class Record(msgspec.Struct, frozen=True, array_like=True):
    """State of an entry instance, as the instance reports it.

    :param started_wall_ms: Unix milliseconds of its start; incarnation.
    :param heartbeat: increases with each record of one incarnation.
    :param peer_address: ``IP:port`` for datagrams.
    :param placements: counts of streams, starting streams and backups by
        endpoint.
    :param replaced: id and start of listed endpoints at whose address
        another endpoint answers.
    :param sessions: endpoint of each running stream by its session.
    :param lost: endpoints that it lost recently.
    :param provisional: endpoints that it uses although they are not listed.
    :param speeds: speed estimates by service.
    :param rollouts: its reports about the operator's roll-outs.
    :param quarantine: its evidence about prompts that crash endpoints.
    :param leaving: id and start of endpoints that announced that they leave.
    :param limits: request limits that endpoints stated in answers to it.
    :param configuration_era: first era of the store in which its configuration
        may have been written.
    :param store_era: newest era of the store that it knows.
    :param configuration_last_era: last such era; the first one if an entry of
        an earlier release does not state it.
    :param endpoint_speeds: microseconds between events at the usual pace, by
        service and address of the endpoint.
    :param placement_tokens: tokens of its streams by endpoint: those that
        they will hold, and those of prompts that are not read yet.
    :param pressure: part of its resources in use, in percent.
    :param account_use: calls and streams in flight by service and client
        account, for services that are full.
    :param capacity: processor capacity of its machine, in thousandths of a
        core; 0 if its settings do not state it.
    :param waiting_streams: streams that wait at the entry, by service.
    :param newest_endpoint_row: era and version of the newest row of the table
        of endpoints that it has read.
    """

    instance_id: bounds.Name
    started_wall_ms: bounds.UnixMilliseconds
    heartbeat: bounds.Count
    state: bounds.Integer
    caller_address: bounds.IpPort
    peer_address: bounds.IpPort
    failure_domain: bounds.Name
    configuration_version: bounds.Count
    placements: dict[
        str, tuple[bounds.Integer, bounds.Integer, bounds.Integer]
    ] = {}
    replaced: list[tuple[str, bounds.Integer]] = []
    sessions: dict[str, str] = {}
    lost: list[str] = []
    provisional: list[endpoints.FleetEndpoint] = []
    speeds: dict[str, speed.SpeedEstimate] = {}
    rollouts: list[rollout_reports.RolloutReport] = []
    quarantine: quarantine_reports.QuarantineReport = (
        quarantine_reports.QuarantineReport()
    )
    leaving: list[tuple[str, bounds.Integer]] = []
    limits: list[limit_reports.LimitReport] = []
    configuration_era: bounds.Era = 0
    store_era: bounds.Era = 0
    configuration_last_era: bounds.Era = 0
    endpoint_speeds: dict[str, list[tuple[str, bounds.Integer]]] = {}
    placement_tokens: dict[str, tuple[bounds.Integer, bounds.Integer]] = {}
    pressure: bounds.Integer = 0
    account_use: dict[
        str, dict[str, tuple[bounds.Integer, bounds.Integer]]
    ] = {}
    capacity: bounds.Count = 0
    waiting_streams: dict[str, bounds.Integer] = {}
    newest_endpoint_row: tuple[bounds.Era, bounds.Count] = (0, 0)

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key: newer records have greater ones."""
        return self.started_wall_ms, self.heartbeat

    @property
    def configuration_revision(self) -> revisions.ConfigurationRevision:
        """Return the revision of its configuration."""
        return revisions.ConfigurationRevision(
            self.configuration_version,
            revisions.span(
                self.configuration_era, self.configuration_last_era
            ),
        )


class AgedRecord(NamedTuple):
    """A record and the milliseconds since its owner sent it."""

    age_ms: bounds.Milliseconds
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
        # How often the newest record of each member was relayed.
        self._relay_counts: dict[str, int] = {}

    def merge(self, record: Record, now_s: float, age_s: float = 0.0) -> bool:
        """Merge a record; return whether it is newer than the known one.

        :param age_s: seconds since its owner sent it.
        """
        if record.instance_id == self._own_id:
            return False
        known = self._records.get(record.instance_id)
        if known is not None and not self._is_newer(
            record, known, now_s - age_s
        ):
            return False
        self._records[record.instance_id] = record
        self._last_seen_s[record.instance_id] = now_s - age_s
        self._relay_counts[record.instance_id] = 0
        return True

    def _is_newer(self, record: Record, known: Record, sent_s: float) -> bool:
        """Tell whether a record replaces the known one of the same entry.

        The clock of a machine may be set back before its entry starts
        again. The records of such a start are accepted once the earlier
        start has sent nothing for as long as a live entry never does.
        """
        if record.started_wall_ms == known.started_wall_ms:
            return record.heartbeat > known.heartbeat
        last_seen_s = self._last_seen_s[record.instance_id]
        if record.started_wall_ms > known.started_wall_ms:
            return sent_s >= last_seen_s
        return sent_s > last_seen_s + self.heartbeat_timeout_s

    def add_stored(self, record: Record, now_s: float) -> None:
        """Add a record from the store; it is no sign that a member lives.

        :param now_s: monotonic seconds.
        """
        if record.instance_id == self._own_id:
            return
        known = self._records.get(record.instance_id)
        if known is None or record.order > known.order:
            self._records[record.instance_id] = record
            self._last_seen_s.setdefault(
                record.instance_id, now_s - RETENTION_S
            )

    @property
    def heartbeat_timeout_s(self) -> float:
        """Return seconds without a heartbeat after which a member is dead."""
        if len(self._records) <= DIRECT_MEMBERS:
            return HEARTBEAT_TIMEOUT_S
        return RELAYED_HEARTBEAT_TIMEOUT_S

    def alive(self, now_s: float) -> list[Record]:
        """Return the records of the other live members."""
        oldest_s = now_s - self.heartbeat_timeout_s
        return [
            record
            for instance_id, record in self._records.items()
            if self._last_seen_s[instance_id] >= oldest_s
        ]

    def reachable_share(self, now_s: float) -> float:
        """Return the part of a fleet-wide limit that live entries may use.

        1 if most of the entries that lived lately are alive. In a smaller
        part of a partitioned fleet it is the size of that part.
        """
        recent = 1 + sum(
            now_s - each < RECENT_S for each in self._last_seen_s.values()
        )
        alive = 1 + len(self.alive(now_s))
        return 1.0 if 2 * alive > recent else alive / recent

    def known_count(self) -> int:
        """Return the number of other members, live or not."""
        return len(self._records)

    def heartbeat_targets(self, rng: random.Random) -> list[str]:
        """Return the addresses for the next round of heartbeats."""
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
        """Return the addresses for placement updates: the live members.

        Load pattern: each of 58 entries starts a stream every three
        seconds. Entries that receive the placement of a prompt a second
        later place the next prompt at the same endpoint.
        """
        addresses = [each.peer_address for each in self.alive(now_s)]
        if len(addresses) <= MAX_UPDATE_TARGETS:
            return addresses
        return rng.sample(addresses, MAX_UPDATE_TARGETS)

    def records_to_relay(
        self, now_s: float, rng: random.Random
    ) -> list[AgedRecord]:
        """Return records of other members to relay in one datagram.

        The least relayed records come first, so that every heartbeat is
        relayed by some entry within a round or two.
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
        """Remove members without a heartbeat for two minutes."""
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
    """Return the sums of the placements in records, by endpoint.

    Negative tokens count as none, so that a false report makes an endpoint
    look at most full.
    """
    totals: dict[str, choose.Placements] = {}
    for record in records:
        for endpoint_id, placed in record.placements.items():
            held, unread = record.placement_tokens.get(endpoint_id, (0, 0))
            added = (*placed, max(held, 0), max(unread, 0))
            before = totals.get(endpoint_id, choose.Placements())
            totals[endpoint_id] = choose.Placements(
                *(a + b for a, b in zip(before, added))
            )
    return totals


def total_waiting(records: abc.Iterable[Record]) -> dict[str, int]:
    """Return the sums of the streams that wait, by service."""
    totals: collections.Counter[str] = collections.Counter()
    for record in records:
        for service, count in record.waiting_streams.items():
            totals[service] += max(count, 0)
    return dict(totals)
