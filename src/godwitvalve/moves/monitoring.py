"""Sequential analysis of the evidence of a move by one entry."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from godwitvalve.moves import betting
from godwitvalve.moves import blocks
from godwitvalve.moves import evidence
from godwitvalve.moves import evidence_rows
from godwitvalve.moves import findings
from godwitvalve.moves import latency_limits
from godwitvalve.moves import move
from godwitvalve.moves import symptoms

# Bound of the probability that a good version is ever taken back by chance,
# and the shares of it for each kind of event. The shares for single routes
# are divided by the number of routes.
FALSE_ALARM_RATE = 0.005
_ERROR_SHARES = {blocks.FAILED: 0.4, blocks.SLOW: 0.3}
_ROUTE_ERROR_SHARES = {blocks.FAILED: 0.2, blocks.SLOW: 0.1}
# Reports are sent once a second and take some time to arrive.
REPORT_GRACE_S = 1.2
# E-value from which a suspicion is examined.
SUSPICION_E_VALUE = 8.0
_EPOCH_S = 30.0
_HISTORY_BLOCKS = 2000

_Cells = Iterable[tuple[evidence_rows.CellKey, evidence_rows.Cell]]


class MoveMonitor:
    """Reads an evidence window bucket by bucket and updates the findings.

    :param routes: number of routes of the service.
    :param now_wall_s: time from which evidence is read.
    """

    def __init__(
        self, moving: move.Move, routes: int, now_wall_s: float
    ) -> None:
        self.moving = moving
        self.read_from_wall_s = now_wall_s
        self.new_attempts = 0
        self.new_endpoints: set[str] = set()
        self.ramp_from: float | None = None
        self._routes = max(routes, 1)
        planned_s = moving.done_by_wall_s - moving.started_wall_s
        self._horizon = max(int(2 * planned_s / _EPOCH_S), 1)
        self._next_bucket = evidence_rows.bucket_of(now_wall_s)
        self._open_blocks: dict[int, blocks.Block] = {}
        self._limits = latency_limits.LatencyLimits()
        self._history: collections.deque[findings.ClosedBlock] = (
            collections.deque(maxlen=_HISTORY_BLOCKS)
        )
        self._findings: dict[blocks.Kind, findings.Finding] = {}
        self._symptoms = symptoms.Symptoms()
        self._domains: set[str] = set()
        self._old_endpoints: set[str] = set()

    def advance(
        self, window: evidence.EvidenceWindow, now_wall_s: float
    ) -> None:
        """Read the buckets whose reports have arrived by now."""
        end = evidence_rows.bucket_of(now_wall_s - REPORT_GRACE_S)
        self._next_bucket = max(self._next_bucket, end - evidence.MAX_BUCKETS)
        while self._next_bucket < end:
            self._read(window, self._next_bucket)
            self._next_bucket += 1

    def _read(self, window: evidence.EvidenceWindow, bucket: int) -> None:
        self._limits.refresh(bucket * evidence_rows.BUCKET_S)
        moving = self.moving
        new = []
        old = []
        for item in window.cells(bucket):
            key = item[0]
            if key.service != moving.service:
                continue
            if key.version == moving.new_version:
                new.append(item)
            elif key.version == moving.old_version:
                old.append(item)
        self._add_to_blocks(new, old, bucket)
        self._update_limits(old)
        self._update_symptoms(new, bucket)
        for share_class, block in list(self._open_blocks.items()):
            if block.is_full() or block.is_expired(bucket):
                self._close(self._open_blocks.pop(share_class))

    def _add_to_blocks(self, new: _Cells, old: _Cells, bucket: int) -> None:
        """Put each cell into the block of its share class."""
        touched = {}
        total = 0
        for is_new, cells in ((True, new), (False, old)):
            for key, cell in cells:
                total += cell.attempts
                block = self._block(key.share_class, bucket)
                block.add(key, cell, is_new, self._limits)
                touched[key.share_class] = block
        usual = total / max(len(self._old_endpoints), 1)
        for block in touched.values():
            block.usual_load += usual

    def _block(self, share_class: int, bucket: int) -> blocks.Block:
        block = self._open_blocks.get(share_class)
        if block is None:
            block = self._open_blocks[share_class] = blocks.Block(
                share_class, bucket, self._symptoms.raised
            )
        return block

    def _update_limits(self, old: _Cells) -> None:
        for key, cell in old:
            self._old_endpoints.add(key.endpoint_id)
            if key.share_class <= 0:
                self._limits.add(key.route, cell.times)

    def _close(self, block: blocks.Block) -> None:
        kinds = block.kinds()
        if not kinds:
            return
        elapsed_s = (
            block.first_bucket * evidence_rows.BUCKET_S
            - self.moving.started_wall_s
        )
        epoch = int(max(elapsed_s, 0.0) / _EPOCH_S)
        start = betting.StartPoint(epoch, block.symptoms)
        closed = findings.ClosedBlock(start, block)
        for kind in kinds:
            self._finding(kind).add(closed, self._history, self._domains)
        self._history.append(closed)

    def _finding(self, kind: blocks.Kind) -> findings.Finding:
        finding = self._findings.get(kind)
        if finding is None:
            finding = findings.Finding(kind, self._horizon, self._limit(kind))
            self._findings[kind] = finding
        return finding

    def _limit(self, kind: blocks.Kind) -> float:
        if kind.route:
            error_share = _ROUTE_ERROR_SHARES[kind.event] / self._routes
        else:
            error_share = _ERROR_SHARES[kind.event]
        return 1 / (error_share * FALSE_ALARM_RATE)

    def _update_symptoms(self, new: _Cells, bucket: int) -> None:
        total = 0
        events: collections.Counter[blocks.Kind] = collections.Counter()
        for key, cell in new:
            total += cell.attempts
            self.new_endpoints.add(key.endpoint_id)
            self._domains.add(key.failure_domain)
            slow = self._limits.slow_count(key.route, cell.times) or 0
            for event, count in (
                (blocks.FAILED, cell.failures),
                (blocks.SLOW, slow),
            ):
                if count:
                    events[blocks.Kind(event, '')] += count
                    events[blocks.Kind(event, key.route)] += count
        self.new_attempts += total
        ended_s = (bucket + 1) * evidence_rows.BUCKET_S
        self._symptoms.add(
            total, events, ended_s, self.suspicion() >= SUSPICION_E_VALUE
        )

    def has_symptom(self, now_wall_s: float) -> bool:
        """Return whether a detected change is still to be examined."""
        return self._symptoms.is_active(now_wall_s)

    def symptom_count(self) -> int:
        """Return the number of symptoms detected so far."""
        return self._symptoms.raised

    def suspicion(self) -> float:
        """Return the greatest e-value that no single suspect explains."""
        values = [finding.min_e_value() for finding in self._findings.values()]
        return max(values, default=1.0)

    def strongest(self) -> findings.Finding | None:
        """Return the finding with the highest ratio of e-value to limit."""
        return max(
            self._findings.values(),
            key=lambda finding: finding.min_e_value() / finding.limit,
            default=None,
        )

    def conclusive_findings(self, single: bool) -> list[findings.Finding]:
        """Return the findings that show a fault of the new version.

        :param single: the new version has one endpoint.
        """
        return [
            finding
            for finding in self._findings.values()
            if finding.is_conclusive(single)
        ]
