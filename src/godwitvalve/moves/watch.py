"""What one entry has made of the evidence of a move so far."""

from __future__ import annotations

import collections

from godwitvalve.moves import blocks
from godwitvalve.moves import evidence
from godwitvalve.moves import findings
from godwitvalve.moves import move
from godwitvalve.moves import pace
from godwitvalve.moves import suspicion

# Probability that a good version is ever taken back by chance alone.
FALSE_ALARM_RATE = 0.004
# A report takes up to a second to be sent and some time to arrive.
GRACE_S = 1.5
_EPOCH_S = 10.0
_HISTORY_BLOCKS = 4000
# A jump of the share by this factor closes all blocks: requests that were
# split differently must not be compared.
_SHARE_JUMP = 1.5
_SIGN_S = 30.0
_MAX_SIGNS_S = 90.0
_QUIET_S = 120.0


class MoveWatch:
    """Reads an evidence book bucket by bucket and keeps the findings.

    The limits of the findings share out ``FALSE_ALARM_RATE``: a quarter
    each for failures and slowness in sum, and a quarter each for those by
    route, divided by the number of routes.

    :param routes: number of routes of the service.
    :param now_wall_s: time from which evidence is read.
    """

    def __init__(
        self, moving: move.Move, routes: int, now_wall_s: float
    ) -> None:
        self.moving = moving
        self.began_wall_s = now_wall_s
        self.new_attempts = 0
        self.new_endpoints: set[str] = set()
        self.ramp_from: float | None = None
        self._routes = max(routes, 1)
        planned_s = moving.done_by_wall_s - moving.started_wall_s
        self._horizon = max(int(2 * planned_s / _EPOCH_S), 1)
        self._next = evidence.bucket_of(now_wall_s)
        self._shares: dict[int, float] = {}
        self._share = 0.0
        self._open: dict[str, blocks.Block] = {}
        self._limits = pace.PaceLimits()
        self._history: collections.deque[findings.Record] = collections.deque(
            maxlen=_HISTORY_BLOCKS
        )
        self._findings: dict[blocks.Kind, findings.Finding] = {}
        self._signs: dict[blocks.Kind, suspicion.ChangeSign] = {}
        self._sign_from = self._sign_until = -_QUIET_S
        self._domains: set[str] = set()

    def note_share(self, now_wall_s: float, share: float) -> None:
        """Remember the share in force, so that blocks end where it jumps."""
        self._shares[evidence.bucket_of(now_wall_s)] = share

    def advance(self, book: evidence.EvidenceBook, now_wall_s: float) -> None:
        """Read the buckets that are complete by now."""
        end = evidence.bucket_of(now_wall_s - GRACE_S)
        self._next = max(self._next, end - evidence.KEPT_BUCKETS)
        while self._next < end:
            self._read(book, self._next)
            self._next += 1

    def _read(self, book: evidence.EvidenceBook, bucket: int) -> None:
        self._share = self._shares.pop(bucket, self._share)
        self._limits.refresh(bucket * evidence.BUCKET_S)
        new_cells = []
        for key, cell in book.cells(bucket):
            if key.service != self.moving.service:
                continue
            if key.version == self.moving.new_version:
                new_cells.append((key, cell))
                self._block(key.failure_domain, bucket).add(
                    key, cell, True, self._limits
                )
            elif key.version == self.moving.old_version:
                self._block(key.failure_domain, bucket).add(
                    key, cell, False, self._limits
                )
                self._limits.add(key.route, cell.times)
        self._count(new_cells, bucket)
        for domain, block in list(self._open.items()):
            if block.is_full() or block.is_old(bucket):
                self._close(domain, bucket)

    def _block(self, domain: str, bucket: int) -> blocks.Block:
        block = self._open.get(domain)
        if block is not None:
            low, high = sorted((block.share, self._share))
            if high <= low * _SHARE_JUMP:
                return block
            self._close(domain, bucket)
        block = blocks.Block(domain, self._share, bucket)
        self._open[domain] = block
        return block

    def _close(self, domain: str, bucket: int) -> None:
        block = self._open.pop(domain)
        kinds = block.kinds()
        if not kinds or not block.new.attempts or not block.old.attempts:
            return
        started = evidence.bucket_of(self.moving.started_wall_s)
        elapsed_s = max(bucket - started, 0) * evidence.BUCKET_S
        record = findings.Record(int(elapsed_s / _EPOCH_S), block)
        for kind in kinds:
            self._finding(kind).add(
                record, self._history, len(self._domains) > 1
            )
        self._history.append(record)

    def _finding(self, kind: blocks.Kind) -> findings.Finding:
        found = self._findings.get(kind)
        if found is None:
            found = findings.Finding(kind, self._horizon, self._limit(kind))
            self._findings[kind] = found
        return found

    def _limit(self, kind: blocks.Kind) -> float:
        parts = 4 * self._routes if kind.route else 4
        return parts / FALSE_ALARM_RATE

    def _count(
        self,
        cells: list[tuple[evidence.CellKey, evidence.Cell]],
        bucket: int,
    ) -> None:
        total = sum(cell.attempts for _, cell in cells)
        if not total:
            return
        self.new_attempts += total
        events: collections.Counter[blocks.Kind] = collections.Counter()
        for key, cell in cells:
            self.new_endpoints.add(key.endpoint_id)
            self._domains.add(key.failure_domain)
            slow = self._limits.slow_count(key.route, cell.times) or 0
            for route in ('', key.route):
                events[blocks.Kind(blocks.FAILED, route)] += cell.failures
                events[blocks.Kind(blocks.SLOW, route)] += slow
        raised = False
        for kind in events.keys() | self._signs.keys():
            sign = self._signs.setdefault(kind, suspicion.ChangeSign(kind))
            raised |= sign.add(total, min(events[kind], total))
        if raised:
            self._raise_sign((bucket + 1) * evidence.BUCKET_S)

    def _raise_sign(self, now_wall_s: float) -> None:
        if now_wall_s > self._sign_until + _QUIET_S:
            self._sign_from = now_wall_s
        if now_wall_s <= self._sign_from + _MAX_SIGNS_S:
            self._sign_until = now_wall_s + _SIGN_S

    def has_sign(self, now_wall_s: float) -> bool:
        """Tell whether a change was seen that is yet to be explained."""
        return now_wall_s < self._sign_until

    def doubt(self) -> float:
        """Return the greatest e-value against the new version."""
        values = [found.e_value for found in self._findings.values()]
        return max(values, default=1.0)

    def strongest(self) -> findings.Finding | None:
        """Return the finding that is nearest to or above its limit."""
        return max(
            self._findings.values(),
            key=lambda found: found.least_e_value() / self._limit(found.kind),
            default=None,
        )

    def proofs(self, single: bool) -> list[findings.Finding]:
        """Return the findings that blame the new version.

        :param single: the new version has one endpoint.
        """
        return [
            found
            for found in self._findings.values()
            if found.is_proof(single)
        ]
