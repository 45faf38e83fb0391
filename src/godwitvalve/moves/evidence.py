"""Evidence about versions: counts by route, endpoint and time."""

from __future__ import annotations

from collections.abc import Collection
import itertools
import math
from typing import Any, NamedTuple

BUCKET_S = 1.0
# Bins of the time a request (or one output token) took; each bin ends 15 %
# above where it starts, far below the factor 1.5 that has to be seen.
BIN_RATIO = 1.15
_LOG_RATIO = math.log(BIN_RATIO)
_MIN_TIME_S = 1e-5
# A report repeats the last buckets, so that a lost one is made good.
REPORTED_BUCKETS = 3
KEPT_BUCKETS = 60
# Bounds of a report and of the book, for routes and endpoints that grow.
MAX_CELLS_A_BUCKET = 4096
MAX_REPORT_CELLS = 1024


class CellKey(NamedTuple):
    """What the counts of a cell are about.

    :param share_class: class of the share in force when the request was
        given to a version, from :func:`share_class`.
    """

    service: str
    version: str
    route: str
    failure_domain: str
    endpoint_id: str
    share_class: int


class Cell(NamedTuple):
    """Counts of one origin for one key in one bucket.

    :param load_sum: outstanding requests of the endpoint, summed over the
        attempts at their starts.
    :param times: (bin, count) pairs, one sample a request: seconds of a
        plain request, or seconds per output token.
    """

    attempts: int = 0
    failures: int = 0
    load_sum: int = 0
    times: tuple[tuple[int, int], ...] = ()


class CellRow(NamedTuple):
    """A cell on the wire."""

    key: CellKey
    cell: Cell


class BucketRow(NamedTuple):
    """All cells of one origin in one bucket."""

    bucket: int
    cells: tuple[CellRow, ...]


class EvidenceReport(NamedTuple):
    """Evidence of one entry instance.

    For each bucket the highest (incarnation, sequence) of an origin holds.
    A sequence number is never used twice by an incarnation.
    """

    origin: str
    incarnation: int
    sequence: int
    buckets: tuple[BucketRow, ...]


class _Held(NamedTuple):
    sequence: int
    cells: dict[CellKey, Cell]


_Slot = tuple[str, int]


def bucket_of(now_wall_s: float) -> int:
    """Return the bucket that holds a time."""
    return int(now_wall_s // BUCKET_S)


def share_class(share: float) -> int:
    """Return the class of a share; those up to one half are at most 0.

    Requests are compared only with others that were split alike.
    Otherwise, after a jump of the share, quick answers and slow ones that
    end together would have been split differently.
    """
    bounded = min(max(share, 0.001), 0.999)
    return math.ceil(2 * math.log(bounded / (1 - bounded)) - 1e-9)


def time_bin(time_s: float) -> int:
    """Return the bin of a time in seconds."""
    return math.floor(math.log(max(time_s, _MIN_TIME_S)) / _LOG_RATIO)


def add_time(
    times: tuple[tuple[int, int], ...], time_s: float
) -> tuple[tuple[int, int], ...]:
    """Return the bins with one more sample."""
    counts = dict(times)
    index = time_bin(time_s)
    counts[index] = counts.get(index, 0) + 1
    return tuple(sorted(counts.items()))


class EvidenceBook:
    """Own evidence and that of the other entries, by bucket.

    Merging keeps, for each bucket, origin and incarnation, the cells with
    the highest sequence number; so the order and the number of deliveries
    do not matter. The book holds at most ``KEPT_BUCKETS`` buckets with
    ``MAX_CELLS_A_BUCKET`` cells of each origin; cells above the bound are
    dropped and counted in ``dropped_cells``.

    :param origin: id of this entry instance.
    :param incarnation: start of this process, growing over restarts.
    """

    def __init__(self, origin: str, incarnation: int) -> None:
        self.origin = origin
        self.incarnation = incarnation
        self.dropped_cells = 0
        self._sequence = 0
        self._buckets: dict[int, dict[_Slot, _Held]] = {}
        self._oldest = 0

    def record(
        self,
        key: CellKey,
        now_wall_s: float,
        *,
        failed: bool,
        load: int = 0,
        time_s: float | None = None,
    ) -> None:
        """Add an attempt that ended.

        :param load: outstanding requests of the endpoint when it began.
        :param time_s: seconds, or seconds per output token, of an attempt
            that succeeded; None if ``record_time`` was already called.
        """
        cells = self._own_cells(now_wall_s)
        cell = cells.get(key, Cell())
        if key not in cells and len(cells) >= MAX_CELLS_A_BUCKET:
            self.dropped_cells += 1
            return
        cells[key] = Cell(
            cell.attempts + 1,
            cell.failures + failed,
            cell.load_sum + load,
            cell.times if time_s is None else add_time(cell.times, time_s),
        )

    def record_time(
        self, key: CellKey, now_wall_s: float, time_s: float
    ) -> None:
        """Add the pace of a running generation, once for each request."""
        cells = self._own_cells(now_wall_s)
        cell = cells.get(key, Cell())
        if key not in cells and len(cells) >= MAX_CELLS_A_BUCKET:
            self.dropped_cells += 1
            return
        cells[key] = cell._replace(times=add_time(cell.times, time_s))

    def _own_cells(self, now_wall_s: float) -> dict[CellKey, Cell]:
        bucket = bucket_of(now_wall_s)
        slots = self._slots(bucket)
        slot = (self.origin, self.incarnation)
        held = slots.get(slot)
        if held is None:
            held = slots[slot] = _Held(0, {})
        return held.cells

    def _slots(self, bucket: int) -> dict[_Slot, _Held]:
        slots = self._buckets.get(bucket)
        if slots is None:
            slots = self._buckets[bucket] = {}
            self._forget()
        return slots

    def _forget(self) -> None:
        if len(self._buckets) <= KEPT_BUCKETS:
            return
        for bucket in sorted(self._buckets)[:-KEPT_BUCKETS]:
            del self._buckets[bucket]
            self._oldest = max(self._oldest, bucket + 1)

    def report(
        self,
        now_wall_s: float,
        services: Collection[str] | None = None,
    ) -> EvidenceReport:
        """Return the newest evidence of this entry for the others.

        :param services: services with a move, the only ones whose evidence
            is read; None for all.
        """
        self._sequence += 1
        last = bucket_of(now_wall_s)
        room = MAX_REPORT_CELLS
        rows = []
        slot = (self.origin, self.incarnation)
        for bucket in range(last, last - REPORTED_BUCKETS, -1):
            held = self._buckets.get(bucket, {}).get(slot)
            if held is None:
                continue
            wanted = (
                CellRow(key, cell)
                for key, cell in held.cells.items()
                if services is None or key.service in services
            )
            cells = tuple(itertools.islice(wanted, room))
            if not cells:
                continue
            room -= len(cells)
            rows.append(BucketRow(bucket, cells))
        return EvidenceReport(
            self.origin, self.incarnation, self._sequence, tuple(rows)
        )

    def merge(self, report: EvidenceReport) -> None:
        """Take over a report; older or repeated ones change nothing."""
        if report.origin == self.origin:
            return
        slot = (report.origin, report.incarnation)
        for bucket, rows in report.buckets:
            if bucket < self._oldest:
                continue
            held = self._slots(bucket).get(slot)
            if held is not None and held.sequence >= report.sequence:
                continue
            if bucket not in self._buckets:
                continue
            cells = dict(rows[:MAX_CELLS_A_BUCKET])
            self._buckets[bucket][slot] = _Held(report.sequence, cells)

    def cells(self, bucket: int) -> list[tuple[CellKey, Cell]]:
        """Return the cells of all origins in a bucket."""
        return [
            item
            for held in self._buckets.get(bucket, {}).values()
            for item in held.cells.items()
        ]

    def buckets(self) -> list[int]:
        """Return the buckets that the book holds, oldest first."""
        return sorted(self._buckets)


def report_from_wire(raw: Any) -> EvidenceReport:
    """Build a report from what msgpack unpacked.

    :raises ValueError: if the shape is wrong or a bound is exceeded.
    """
    try:
        origin, incarnation, sequence, buckets = raw
        rows = tuple(_bucket_from_wire(*row) for row in buckets)
        report = EvidenceReport(
            str(origin), int(incarnation), int(sequence), rows
        )
    except (TypeError, AttributeError) as error:
        raise ValueError(f'evidence report has a wrong shape: {error}')
    if sum(len(row.cells) for row in rows) > MAX_REPORT_CELLS:
        raise ValueError('too many cells in an evidence report')
    return report


def _bucket_from_wire(bucket: Any, cells: Any) -> BucketRow:
    rows = (
        CellRow(_key_from_wire(*key), _cell_from_wire(*cell))
        for key, cell in cells
    )
    return BucketRow(int(bucket), tuple(rows))


def _key_from_wire(*fields: Any) -> CellKey:
    *names, split = fields
    service, version, route, domain, endpoint_id = map(str, names)
    return CellKey(service, version, route, domain, endpoint_id, int(split))


def _cell_from_wire(
    attempts: Any, failures: Any, load_sum: Any, times: Any
) -> Cell:
    pairs = tuple((int(index), int(count)) for index, count in times)
    return Cell(int(attempts), int(failures), int(load_sum), pairs)
