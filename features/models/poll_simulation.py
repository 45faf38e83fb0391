"""Entries that follow the tables of a store that loses answers."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from typing import NamedTuple

from godwitvalve.fleet import eras
from godwitvalve.fleet import follower
from godwitvalve.fleet import poll_checks
from godwitvalve.fleet import relay
from godwitvalve.fleet import sources
from godwitvalve.gossip import members
from godwitvalve.ingress import derived_settings
from godwitvalve.ingress import peer_tables
from godwitvalve.ingress import process
from godwitvalve.platform import settings as wire_settings
from godwitvalve.platform import store as stores

HEARTBEAT_S = 0.25
PEER_ANSWER_S = 0.002
TABLES = ('op', 'servers')


class Day(NamedTuple):
    """What happens; seconds since the start.

    :param answer_s: seconds that each answer of the store takes.
    :param lost: from when until when answers are lost.
    :param changed_s: when endpoints change.
    :param leaves_s: when an endpoint leaves.
    :param dies_s: when the first entry dies.
    :param cut_s: when the first entry is cut off from the store, but not from
        the other entries.
    """

    entries: int
    domains: int
    length_s: float
    answer_s: float = 0.004
    lost: tuple[float, float] = (0.0, 0.0)
    changed_s: tuple[float, ...] = ()
    leaves_s: float = float('inf')
    dies_s: float = float('inf')
    cut_s: float = float('inf')


class _Store:
    def __init__(self, day):
        self._day = day
        self._began_s = time.monotonic()
        self.version = 1
        self.rows = {table: {} for table in TABLES}
        self.changed = asyncio.Event()
        self.calls = 0

    def write(self, table, key):
        self.version += 1
        self.rows[table][key] = stores.StoredRow(key, self.version, b'')
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def answer(self, table, after, wait_s, limit_s, cut_s):
        """Return an answer, or none if it is lost.

        :param cut_s: when the caller is cut off from the store.
        :raises StoreUnavailable: if none came within the limit.
        """
        self.calls += 1
        try:
            async with asyncio.timeout(limit_s):
                await self._wait(table, after, wait_s)
                if time.monotonic() - self._began_s >= cut_s:
                    await asyncio.Event().wait()
                found = self._since(table, after)
                answer = sources.TableAnswer(
                    found, self.version, time.monotonic()
                )
                await asyncio.sleep(self._day.answer_s)
                begin, end = self._day.lost
                if begin <= time.monotonic() - self._began_s < end:
                    await asyncio.Event().wait()
                return answer
        except asyncio.TimeoutError as error:
            raise stores.StoreUnavailable('no answer') from error

    async def _wait(self, table, after, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                while not self._since(table, after):
                    await self.changed.wait()
        except asyncio.TimeoutError:
            return

    def _since(self, table, after):
        rows = self.rows[table].values()
        return [row for row in rows if row.version > after]


class _Consumer:
    """Notes when the row of the leaving endpoint was read."""

    left_s = float('inf')

    def apply_snapshot(self, rows, revision):
        self.apply_changes(rows)

    def apply_changes(self, rows):
        if any(row.key == 'leaving' for row in rows):
            self.left_s = min(self.left_s, time.monotonic())

    def trusted_from_s(self):
        return float('-inf')

    def _ignore(self, *details):
        pass

    mark_current = mark_store_restored = _ignore
    mark_store_unavailable = mark_store_available = _ignore


class _UncheckedPolls(poll_checks.PollChecks):
    """The older rule: a poll lasts until its time limit."""

    def end_reason(self, poll, longest_wait_s, now_s):
        return None


class _PeerSource:
    def __init__(self, peer):
        self._peer = peer

    async def rows(self, table):
        return self._peer.relays[table].snapshot()

    async def changes(self, table, after, wait_s):
        await asyncio.sleep(PEER_ANSWER_S)
        answer = await self._peer.relays[table].changes(
            after, wait_s, time.monotonic()
        )
        if answer.confirmed_s < time.monotonic() - sources.STALE_S:
            raise stores.StoreUnavailable('stale')
        return answer


class _Entry:
    """The followers of one entry; also the source that they read from."""

    def __init__(self, fleet, number, has_checks):
        day = fleet.day
        self._fleet = fleet
        self.record = members.Record(
            f'e-{number:03}', 1, 1, members.SERVING, '', '',
            f'fd-{number % day.domains}', 1,
        )  # fmt: skip
        self._selector = sources.SourceSelector(
            self.record.instance_id, self.record.failure_domain
        )
        waits_s = dict(
            derived_settings.longest_waits_s(
                wire_settings.FleetSettings(
                    *('x',) * 7, peer_ports=(1, 2), store_address='x'
                )
            )
        )
        if not has_checks:
            del waits_s['servers']
        self._waits = peer_tables.PeerSources(
            None, self._selector, self._alive, 1, waits_s
        )
        kind = poll_checks.PollChecks if has_checks else _UncheckedPolls
        self.checks = {table: kind() for table in TABLES}
        self.relays = {table: relay.TableRelay() for table in TABLES}
        self.consumer = _Consumer()
        self._cut_s = day.cut_s if number == 0 else float('inf')
        self.reasons = []
        self.tasks = []

    def start(self):
        pauses_s = {
            'op': 0.0,
            'servers': process.LARGE_FLEET_READ_PAUSE_S
            if self._fleet.day.entries > members.DIRECT_MEMBERS
            else process.ENDPOINTS_READ_PAUSE_S,
        }
        self.tasks = [
            asyncio.create_task(
                follower.TableFollower(
                    self,
                    table,
                    self.consumer,
                    self.relays[table],
                    lambda table=table: pauses_s[table],
                    eras.StoreEra(),
                    self.checks[table],
                    self.reasons.append,
                ).run()
            )
            for table in TABLES
        ]

    @property
    def reaches_store(self):
        return self._cut_s == float('inf')

    def _alive(self):
        return [
            each.record for each in self._fleet.alive() if each is not self
        ]

    def choose(self):
        found = self._selector.choose(self._alive(), time.monotonic())
        if found is None:
            return self, ''
        peer = self._fleet.by_id[found.instance_id]
        return _PeerSource(peer), found.instance_id

    def wait_s(self, table):
        return self._waits.wait_s(table)

    def mark_failed(self, instance_id):
        self._selector.mark_failed(instance_id, time.monotonic())

    async def rows(self, table):
        return await self._call(table, 0, 0.0, stores.CALL_TIMEOUT_S)

    async def changes(self, table, after, wait_s):
        limit_s = wait_s + stores.FEED_TIMEOUT_MARGIN_S
        return await self._call(table, after.version, wait_s, limit_s)

    async def _call(self, table, after, wait_s, limit_s):
        try:
            return await self._fleet.store.answer(
                table, after, wait_s, limit_s, self._cut_s
            )
        except stores.StoreUnavailable:
            for each in self.checks.values():
                each.record_silence(time.monotonic())
            raise


class _Fleet:
    def __init__(self, day, has_checks):
        self.day = day
        self.store = _Store(day)
        self.entries = [
            _Entry(self, number, has_checks) for number in range(day.entries)
        ]
        self.by_id = {each.record.instance_id: each for each in self.entries}
        self.died_s = float('inf')

    def alive(self):
        is_noticed = time.monotonic() >= (
            self.died_s + members.HEARTBEAT_TIMEOUT_S
        )
        return self.entries[1:] if is_noticed else self.entries

    async def run(self):
        began_s = time.monotonic()
        jitter = random.Random(5)
        self.store.write('servers', 'first')
        events = [
            *((at_s, 'other') for at_s in self.day.changed_s),
            (self.day.leaves_s, 'leaving'),
            (self.day.dies_s, 'die'),
            (self.day.length_s, 'end'),
        ]
        heartbeats = asyncio.create_task(self._send_heartbeats())
        for each in self.entries:
            each.start()
            await asyncio.sleep(jitter.uniform(0.0, 1.0) / len(self.entries))
        for at_s, what in itertools.takewhile(
            lambda event: event[0] <= self.day.length_s, sorted(events)
        ):
            await asyncio.sleep(began_s + at_s - time.monotonic())
            if what == 'die':
                self.died_s = time.monotonic()
                for task in self.entries[0].tasks:
                    task.cancel()
            elif what != 'end':
                self.store.write('servers', what)
        tasks = [heartbeats, *(t for e in self.entries for t in e.tasks)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        live = self.alive()
        in_touch = [each for each in live if each.reaches_store]
        return Result(
            max(each.consumer.left_s for each in in_touch)
            - (began_s + self.day.leaves_s),
            self.store.calls / self.day.entries / self.day.length_s,
            [reason for each in live for reason in each.reasons],
        )

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            newest = max(
                each.checks['servers'].newest_row for each in self.alive()
            )
            for each in self.alive():
                each.checks['servers'].record_report(newest, time.monotonic())


class Result(NamedTuple):
    """What was seen.

    :param left_after_s: seconds after the endpoint left until all entries
        that reach the store know it.
    :param calls: calls to the store a second and entry.
    :param reasons: of polls that were ended.
    """

    left_after_s: float
    calls: float
    reasons: list[str]


async def simulate(day, has_checks=True):
    """Run a day; without checks by the older rule."""
    return await _Fleet(day, has_checks).run()
