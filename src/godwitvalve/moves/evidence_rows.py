"""Rows of evidence and their encoding on the wire."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

BUCKET_S = 1.0
# The times of requests (or of output tokens) are counted in bins. The upper
# end of a bin is 15 % above the lower one, which is fine enough to detect
# versions that are slower by a factor of 1.5.
BIN_RATIO = 1.15
_LOG_RATIO = math.log(BIN_RATIO)
_MIN_TIME_S = 1e-5
# Bounds a report when the number of routes and endpoints grows.
MAX_REPORT_CELLS = 1024


class CellKey(NamedTuple):
    """Service, version, route and endpoint whose requests a cell counts.

    :param share_class: class of the share in force when the version was
        chosen, from :func:`share_class`.
    """

    service: str
    version: str
    route: str
    failure_domain: str
    endpoint_id: str
    share_class: int


class Cell(NamedTuple):
    """Counts of one origin for one key in one bucket.

    :param load_sum: outstanding requests of the endpoint at the start of
        each attempt, summed over the attempts.
    :param times: (bin, count) pairs with one sample per request: seconds of
        a plain request, or seconds per output token.
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

    For each bucket and incarnation of an origin, the report with the highest
    sequence number holds. An incarnation never uses a sequence number twice.
    """

    origin: str
    incarnation: int
    sequence: int
    buckets: tuple[BucketRow, ...]


def bucket_of(now_wall_s: float) -> int:
    """Return the number of the bucket that contains a time."""
    return int(now_wall_s // BUCKET_S)


def share_class(share: float) -> int:
    """Return the class of a share, at most 0 for shares up to one half.

    Requests are compared only with others that were split at a similar
    share. Otherwise, after a sudden change of the share, fast and slow
    answers that end at the same time would come from different shares.
    """
    bounded = min(max(share, 0.001), 0.999)
    return math.ceil(2 * math.log(bounded / (1 - bounded)) - 1e-9)


def time_bin(time_s: float) -> int:
    """Return the bin of a time in seconds."""
    return math.floor(math.log(max(time_s, _MIN_TIME_S)) / _LOG_RATIO)


def add_time(
    times: tuple[tuple[int, int], ...], time_s: float
) -> tuple[tuple[int, int], ...]:
    """Return the bins with one more sample added."""
    counts = dict(times)
    index = time_bin(time_s)
    counts[index] = counts.get(index, 0) + 1
    return tuple(sorted(counts.items()))


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
        raise ValueError(f'malformed evidence report: {error}')
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
    *names, class_number = fields
    service, version, route, domain, endpoint_id = map(str, names)
    return CellKey(
        service, version, route, domain, endpoint_id, int(class_number)
    )


def _cell_from_wire(
    attempts: Any, failures: Any, load_sum: Any, times: Any
) -> Cell:
    pairs = tuple((int(index), int(count)) for index, count in times)
    return Cell(int(attempts), int(failures), int(load_sum), pairs)
