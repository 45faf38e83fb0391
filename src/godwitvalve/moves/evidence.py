"""Evidence about versions: counts by route, endpoint and time."""

from __future__ import annotations

from collections.abc import Collection
import itertools
from typing import NamedTuple

from godwitvalve.moves import evidence_rows

# Each report repeats the last buckets, which makes up for lost reports.
REPORTED_BUCKETS = 3
MAX_BUCKETS = 60
# Bounds the memory when the number of routes and endpoints grows.
MAX_CELLS_PER_BUCKET = 4096


class _OriginCells(NamedTuple):
    sequence: int
    cells: dict[evidence_rows.CellKey, evidence_rows.Cell]


_OriginKey = tuple[str, int]


class EvidenceWindow:
    """Recent evidence of this entry and of the other ones, by bucket.

    For each bucket, origin and incarnation, merging keeps the cells with
    the highest sequence number, so that reordered and repeated reports give
    the same result. The window holds at most ``MAX_BUCKETS`` buckets with
    ``MAX_CELLS_PER_BUCKET`` cells of each origin. Own cells above the bound
    are dropped and counted in ``dropped_cells``.

    :param origin: id of this entry instance.
    :param incarnation: number of this start of the instance; it increases
        with each restart.
    """

    def __init__(self, origin: str, incarnation: int) -> None:
        self.origin = origin
        self.incarnation = incarnation
        self.dropped_cells = 0
        self._sequence = 0
        self._buckets: dict[int, dict[_OriginKey, _OriginCells]] = {}
        self._oldest = 0

    def record(
        self,
        key: evidence_rows.CellKey,
        now_wall_s: float,
        *,
        failed: bool,
        load: int = 0,
        time_s: float | None = None,
    ) -> None:
        """Count an attempt that ended.

        :param load: outstanding requests of the endpoint at its start.
        :param time_s: seconds, or seconds per output token, of an attempt
            that succeeded; None if ``record_time`` was called for it.
        """
        cells = self._own_cells(now_wall_s)
        cell = cells.get(key, evidence_rows.Cell())
        if key not in cells and len(cells) >= MAX_CELLS_PER_BUCKET:
            self.dropped_cells += 1
            return
        cells[key] = evidence_rows.Cell(
            cell.attempts + 1,
            cell.failures + failed,
            cell.load_sum + load,
            cell.times
            if time_s is None
            else evidence_rows.add_time(cell.times, time_s),
        )

    def record_time(
        self, key: evidence_rows.CellKey, now_wall_s: float, time_s: float
    ) -> None:
        """Add the time per output token of a running generation.

        Called at most once for each request.

        :param time_s: seconds per output token.
        """
        cells = self._own_cells(now_wall_s)
        cell = cells.get(key, evidence_rows.Cell())
        if key not in cells and len(cells) >= MAX_CELLS_PER_BUCKET:
            self.dropped_cells += 1
            return
        cells[key] = cell._replace(
            times=evidence_rows.add_time(cell.times, time_s)
        )

    def _own_cells(
        self, now_wall_s: float
    ) -> dict[evidence_rows.CellKey, evidence_rows.Cell]:
        bucket = evidence_rows.bucket_of(now_wall_s)
        origins = self._origins(bucket)
        origin_key = (self.origin, self.incarnation)
        stored = origins.get(origin_key)
        if stored is None:
            stored = origins[origin_key] = _OriginCells(0, {})
        return stored.cells

    def _origins(self, bucket: int) -> dict[_OriginKey, _OriginCells]:
        origins = self._buckets.get(bucket)
        if origins is None:
            origins = self._buckets[bucket] = {}
            self._drop_old_buckets()
        return origins

    def _drop_old_buckets(self) -> None:
        if len(self._buckets) <= MAX_BUCKETS:
            return
        for bucket in sorted(self._buckets)[:-MAX_BUCKETS]:
            del self._buckets[bucket]
            self._oldest = max(self._oldest, bucket + 1)

    def report(
        self,
        now_wall_s: float,
        services: Collection[str] | None = None,
    ) -> evidence_rows.EvidenceReport:
        """Return the latest evidence of this entry, to be sent to peers.

        :param services: services to report, or None for all. Only the
            evidence of services with a move is used.
        """
        self._sequence += 1
        last = evidence_rows.bucket_of(now_wall_s)
        remaining = evidence_rows.MAX_REPORT_CELLS
        rows = []
        origin_key = (self.origin, self.incarnation)
        for bucket in range(last, last - REPORTED_BUCKETS, -1):
            stored = self._buckets.get(bucket, {}).get(origin_key)
            if stored is None:
                continue
            rows_here = (
                evidence_rows.CellRow(key, cell)
                for key, cell in stored.cells.items()
                if services is None or key.service in services
            )
            cells = tuple(itertools.islice(rows_here, remaining))
            if not cells:
                continue
            remaining -= len(cells)
            rows.append(evidence_rows.BucketRow(bucket, cells))
        return evidence_rows.EvidenceReport(
            self.origin, self.incarnation, self._sequence, tuple(rows)
        )

    def merge(self, report: evidence_rows.EvidenceReport) -> None:
        """Merge a report; older and repeated reports have no effect."""
        if report.origin == self.origin:
            return
        origin_key = (report.origin, report.incarnation)
        for bucket, rows in report.buckets:
            if bucket < self._oldest:
                continue
            stored = self._origins(bucket).get(origin_key)
            if stored is not None and stored.sequence >= report.sequence:
                continue
            if bucket not in self._buckets:
                continue
            cells = dict(rows[:MAX_CELLS_PER_BUCKET])
            self._buckets[bucket][origin_key] = _OriginCells(
                report.sequence, cells
            )

    def cells(
        self, bucket: int
    ) -> list[tuple[evidence_rows.CellKey, evidence_rows.Cell]]:
        """Return the cells of all origins in a bucket."""
        return [
            item
            for stored in self._buckets.get(bucket, {}).values()
            for item in stored.cells.items()
        ]

    def buckets(self) -> list[int]:
        """Return the numbers of the buckets in the window, oldest first."""
        return sorted(self._buckets)
