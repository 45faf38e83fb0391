"""Recognises rows that an older copy of a table cannot have."""

from __future__ import annotations

import collections
import hashlib
from typing import NamedTuple

from godwitvalve.platform import store as stores

# Of each row; what happened before is not known.
MAX_SPANS = 32


class _Span(NamedTuple):
    """Versions of the table at which a row had the same content.

    :param version: version of the row, from which on it had this content.
    :param digest: of the content; None if there was no row.
    :param until_version: last version of the table that was read meanwhile.
    """

    version: int
    digest: bytes | None
    until_version: int


class _KnownRow(NamedTuple):
    version: int
    digest: bytes | None


class RowHistory:
    """Rows of a table as they were read in one era of the store.

    Load pattern: the store comes back from an older copy, and a row is
    written before the table is read for the first time. It has a version of
    the era before, as the rows of the copy have. One at which the row is
    known to have had another content is not that of the copy.

    :param rows: all rows of the table.
    :param version: version of the table at which they were read.
    """

    def __init__(self, rows: list[stores.StoredRow], version: int) -> None:
        self._first_version = version
        self._read_version = version
        self._rows = {row.key: _known_row(row) for row in rows}
        self._spans: collections.defaultdict[str, collections.deque[_Span]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=MAX_SPANS)
            )
        )

    def replace(self, rows: list[stores.StoredRow], version: int) -> None:
        """Record all rows of the table, which was read again.

        :param version: version of the table at which they were read.
        """
        listed = {row.key for row in rows}
        removed = [
            stores.StoredRow(key, version, None)
            for key in self._rows
            if key not in listed
        ]
        self.apply([*rows, *removed])
        self.confirm(version)

    def apply(self, rows: list[stores.StoredRow]) -> None:
        """Record changed rows."""
        for row in rows:
            known = _known_row(row)
            if self._current(row.key) != known:
                self._spans[row.key].append(self._current_span(row.key))
                self._rows[row.key] = known

    def confirm(self, version: int) -> None:
        """Record that all changes up to a version of the table were read."""
        self._read_version = max(self._read_version, version)

    def may_contain(self, row: stores.StoredRow) -> bool:
        """Tell whether the table may have had this row in this era."""
        spans = (
            *self._spans.get(row.key, ()),
            self._current_span(row.key),
        )
        known = _known_row(row)
        same_version = [
            span for span in spans if span.version == known.version
        ]
        if same_version:
            return any(span.digest == known.digest for span in same_version)
        return not any(
            span.version < known.version <= span.until_version
            for span in spans
        )

    def _current(self, key: str) -> _KnownRow:
        # A row that was never listed may have been removed before.
        return self._rows.get(key, _KnownRow(self._first_version, None))

    def _current_span(self, key: str) -> _Span:
        return _Span(*self._current(key), self._read_version)


def _known_row(row: stores.StoredRow) -> _KnownRow:
    if row.value is None:
        return _KnownRow(row.version, None)
    return _KnownRow(row.version, hashlib.sha256(row.value).digest())
