"""Simulates one seeded move, decided by the code of the product."""

from __future__ import annotations

import asyncio
import heapq
import random
from typing import NamedTuple

from bench import memory_tables
from bench import sites
from bench import streams
from godwitvalve.moves import choice
from godwitvalve.moves import evidence
from godwitvalve.moves import evidence_rows
from godwitvalve.moves import judge
from godwitvalve.moves import monitoring
from godwitvalve.moves import move
from godwitvalve.moves import share
from godwitvalve.moves import verdict_rows
from godwitvalve.moves import verdicts
from godwitvalve.routing import endpoint

ENTRIES = 6
# Number of entries that merge all reports and decide. The others send reports,
# follow the verdicts and use the share of a deciding entry. With the same
# reports they would decide the same, and a run would take three times as long.
_DECIDING = 2
TICK_S = 1.0
# Delay of the decision after the reports are delivered at the end of a tick.
# Reports are delivered one tick after the one in which they were sent.
_DECISION_DELAY_S = 0.25
# Wall time at which the move starts; the value is arbitrary.
_MOVE_START_WALL_S = 1_000_000.0
# Time for which a bad version is monitored after ``done_by``, or after the
# onset of the fault if that is later.
AFTER_BAD_S = 300.0
_AFTER_GOOD_S = 20.0
_REPORT_LOSS_PROBABILITY = 0.02
_AFTER_VERDICT_S = 10.0


class Run(NamedTuple):
    """Result of one move; times are in seconds from its start.

    :param taken_back_s: time at which it was taken back, or None.
    :param done_s: time at which the last entry had the verdict that it is
        done, or None.
    :param blamed_at_verdict: requests that the version's fault failed or
        slowed and that had ended before the verdict.
    :param after_verdict: requests sent to a version that was taken back,
        more than 3 s after the verdict.
    :param stored: whether the store had the right verdict at the end.
    """

    site: str
    case: str
    seed: int
    taken_back_s: float | None
    done_s: float | None
    onset_s: float
    new_requests: int
    requests: int
    blamed_at_verdict: int
    after_verdict: int
    stored: bool
    reason: str


class _Entry:
    """Decision code of one entry instance."""

    def __init__(
        self,
        index: int,
        moving: move.Move,
        routes: int,
        tables: memory_tables.MemoryTables,
    ) -> None:
        self.name = f'entry-{index}'
        self.evidence = evidence.EvidenceWindow(self.name, 1)
        self.monitor = monitoring.MoveMonitor(
            moving, routes, _MOVE_START_WALL_S
        )
        self.verdicts = verdicts.VerdictManager(tables, self.name)
        self.decision = share.ShareDecision(0.0, (), '')


class Simulation:
    """Entries that share a request stream and exchange reports every tick."""

    def __init__(self, site: sites.Site, case: sites.Case, seed: int) -> None:
        self.site = site
        self.case = case
        self.seed = seed
        self.stream = streams.Stream(site, case, seed)
        self._rng = random.Random(f'entries {site.name} {case.name} {seed}')
        self.moving = move.Move(
            'service',
            'v1',
            'v2',
            move.move_id('service', 'v2', str(seed)),
            _MOVE_START_WALL_S,
            _MOVE_START_WALL_S + site.move_s,
            site.pulse_s,
        )
        self.tables = memory_tables.MemoryTables()
        routes = len(self.stream.routes)
        self.entries = [
            _Entry(index, self.moving, routes, self.tables)
            for index in range(ENTRIES)
        ]
        self._endpoints = [
            endpoint.Endpoint(
                sites.endpoint_id('v2', index),
                '',
                f'fd-{index % site.domains}',
                'service',
                'v2',
                False,
            )
            for index in range(site.replicas)
        ]
        self._running: list[streams.Ended] = []
        self._reports: list[
            tuple[float, int, evidence_rows.EvidenceReport]
        ] = []
        self._rows: list[tuple[float, verdict_rows.VerdictRow]] = []
        self._requests = self._new_requests = 0
        self._blamed = self._after_verdict = 0
        self._taken_back_s: float | None = None
        self._done: dict[str, float] = {}
        self._reason = ''

    def run(self) -> Run:
        """Run the move to its end."""
        end_s = self.site.move_s + _AFTER_GOOD_S
        if self.case.is_bad:
            end_s = max(self.site.move_s, self.stream.onset_s) + AFTER_BAD_S
        at_s = 0.0
        while at_s < end_s:
            self._tick(at_s)
            at_s += TICK_S
            taken_back_s = self._taken_back_s
            if taken_back_s and at_s > taken_back_s + _AFTER_VERDICT_S:
                break
        return self._result()

    def _tick(self, at_s: float) -> None:
        outage = self.stream.disturbances.store_down
        self.tables.down = bool(outage and outage[0] <= at_s < outage[1])
        self._decide_shares(at_s)
        for time_s in self.stream.arrivals(at_s, TICK_S):
            self._send(time_s)
        self._end_requests(at_s + TICK_S)
        self._exchange(at_s + TICK_S)
        for entry in self.entries:
            self._update_verdict(entry, at_s + TICK_S + _DECISION_DELAY_S)

    def _decide_shares(self, at_s: float) -> None:
        now = _MOVE_START_WALL_S + at_s
        dead = self.stream.disturbances.dead
        live = self._endpoints
        if dead:
            indexes = self.stream.live('v2', at_s)
            live = [self._endpoints[index] for index in indexes]
        old = len(self.stream.live('v1', at_s)) if dead else len(live)
        for entry in self.entries[:_DECIDING]:
            entry.decision = share.plan_share(
                self.moving,
                live,
                old,
                entry.monitor,
                now,
                entry.verdicts.verdict(self.moving.move_id),
            )
        for index, entry in enumerate(self.entries):
            known = entry.verdicts.verdict(self.moving.move_id)
            if index >= _DECIDING:
                entry.decision = self.entries[index % _DECIDING].decision
            if known is move.Verdict.TAKEN_BACK:
                entry.decision = share.ShareDecision(0.0, (), 'taken back')
        shares = [
            (e.decision.share, e.decision.replicas) for e in self.entries
        ]
        self.stream.update_load(shares, TICK_S)

    def _send(self, at_s: float) -> None:
        rng = self._rng
        number = int(rng.random() * ENTRIES)
        entry = self.entries[number]
        decision = entry.decision
        version = choice.choose_version(
            self.moving, decision.share, rng.getrandbits(64)
        )
        split = evidence_rows.share_class(decision.share)
        if version == 'v2':
            name = rng.choice(decision.replicas)
            self._count_new(at_s)
        else:
            index = rng.choice(self.stream.live('v1', at_s))
            name = sites.endpoint_id('v1', index)
        if self._taken_back_s is None:
            self._requests += 1
        for ended in self.stream.run(at_s, number, version, name, split):
            heapq.heappush(self._running, ended)

    def _count_new(self, at_s: float) -> None:
        if self._taken_back_s is None:
            self._new_requests += 1
        elif at_s > self._taken_back_s + 3.0:
            self._after_verdict += 1

    def _end_requests(self, now_s: float) -> None:
        while self._running and self._running[0].at_s < now_s:
            ended = heapq.heappop(self._running)
            if self._taken_back_s is None:
                self._blamed += ended.blamed
            key = evidence_rows.CellKey(
                'service',
                ended.version,
                ended.route,
                ended.domain,
                ended.endpoint,
                ended.split,
            )
            window = self.entries[ended.entry].evidence
            now = _MOVE_START_WALL_S + ended.at_s
            if not ended.is_end:
                assert ended.time_s is not None
                window.record_time(key, now, ended.time_s)
                continue
            failed = not ended.ok
            window.record(key, now, failed=failed, time_s=ended.time_s)

    def _exchange(self, now_s: float) -> None:
        """Deliver the reports of the last tick, then send the next ones."""
        for sender, report in [r[1:] for r in self._reports]:
            for index, entry in enumerate(self.entries[:_DECIDING]):
                if (
                    index == sender
                    or self._rng.random() < _REPORT_LOSS_PROBABILITY
                ):
                    continue
                entry.evidence.merge(report)
        self._reports = [
            (
                now_s,
                index,
                entry.evidence.report(_MOVE_START_WALL_S + now_s - 1e-6),
            )
            for index, entry in enumerate(self.entries)
        ]
        for _, row in self._rows:
            for entry in self.entries:
                entry.verdicts.merge(row)
        self._rows = [
            (now_s, row)
            for entry in self.entries
            for row in entry.verdicts.rows()
        ]

    def _update_verdict(self, entry: _Entry, now_s: float) -> None:
        now = _MOVE_START_WALL_S + now_s
        if entry in self.entries[:_DECIDING]:
            self._decide_verdict(entry, now)
        known = entry.verdicts.verdict(self.moving.move_id)
        if known is move.Verdict.DONE:
            self._done.setdefault(entry.name, now_s)
        if known is move.Verdict.TAKEN_BACK and self._taken_back_s is None:
            self._taken_back_s = now_s
        if entry.verdicts.pending():
            asyncio.run(entry.verdicts.flush(now_s))

    def _decide_verdict(self, entry: _Entry, now: float) -> None:
        entry.monitor.advance(entry.evidence, now)
        known = entry.verdicts.verdict(self.moving.move_id)
        decided = judge.judge(
            self.moving, entry.monitor, now, self.site.replicas, known
        )
        if entry.verdicts.decide(self.moving.move_id, decided, now):
            if isinstance(decided, move.TakeBack):
                self._reason = decided.reason

    def _result(self) -> Run:
        done_s = None
        if len(self._done) == ENTRIES:
            done_s = max(self._done.values())
        verdict = self.entries[0].verdicts.verdict(self.moving.move_id)
        self.tables.down = False
        for entry in self.entries:
            asyncio.run(entry.verdicts.flush(1e9))
        row = asyncio.run(
            self.tables.read(verdicts.TABLE, self.moving.move_id)
        )
        stored = row is not None
        if row is not None:
            stored = verdict_rows.decode(row.value).verdict == verdict
        return Run(
            self.site.name,
            self.case.name,
            self.seed,
            self._taken_back_s,
            done_s,
            self.stream.onset_s,
            self._new_requests,
            self._requests,
            self._blamed,
            self._after_verdict,
            stored,
            self._reason,
        )
