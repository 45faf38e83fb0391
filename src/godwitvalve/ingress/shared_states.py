"""State that entries keep in the platform's store for later starts."""

from __future__ import annotations

from collections import abc
import time

import msgspec

from godwitvalve.decoding import bounds
from godwitvalve.decoding import content as contents
from godwitvalve.placement import sessions as session_model
from godwitvalve.quarantine import reports
from godwitvalve.quarantine import segments as segment_model

SESSIONS_TABLE = 'sessions'
QUARANTINE_TABLE = 'quarantine'
_EMPTY = b'{}'
_SESSIONS_DECODER = msgspec.json.Decoder(dict[str, str])


class SessionState:
    """Sessions of running streams.

    In a large fleet one entry of each failure domain writes for the whole
    failure domain.

    :param running: returns the sessions that this entry writes, with the
        endpoint of each.
    """

    def __init__(
        self,
        table: session_model.SessionTable,
        running: abc.Callable[[], dict[str, str]],
    ) -> None:
        self._table = table
        self._running = running
        self._has_written = False

    def merge(self, content: bytes) -> None:
        """Merge the sessions of an entry.

        :raises InvalidContent: if they cannot be decoded.
        """
        self._table.merge(
            contents.decode(_SESSIONS_DECODER, content),
            time.monotonic(),
        )

    def content(self) -> bytes:
        """Return the sessions; empty until there are any."""
        content = msgspec.json.encode(self._running())
        if content == _EMPTY and not self._has_written:
            return b''
        self._has_written = True
        return content


class _QuarantineRow(msgspec.Struct):
    """Evidence of an entry, as of a time of day."""

    written_wall_ms: bounds.UnixMilliseconds = 0
    report: reports.QuarantineReport = reports.QuarantineReport()


_QUARANTINE_DECODER = msgspec.json.Decoder(_QuarantineRow)


class QuarantineState:
    """Evidence about prompts that crash endpoints.

    Load pattern: all entries lose power while such prompts come. Without
    the evidence, endpoints crash anew after each restart.

    :param is_writer: returns whether this entry writes; two entries suffice,
        as all have the same evidence.
    """

    def __init__(
        self,
        quarantine: segment_model.SegmentQuarantine,
        is_writer: abc.Callable[[], bool],
    ) -> None:
        self._quarantine = quarantine
        self._is_writer = is_writer
        self._content = b''
        self._kept: frozenset[str] = frozenset()

    def merge(self, content: bytes) -> None:
        """Merge the evidence of an entry.

        :raises InvalidContent: if it cannot be decoded.
        """
        row = contents.decode(_QUARANTINE_DECODER, content)
        age_ms = max(int(time.time() * 1000) - row.written_wall_ms, 0)
        self._quarantine.merge(row.report, time.monotonic(), age_ms / 1000)

    def content(self) -> bytes:
        """Return the evidence of blocks; empty if this entry keeps none."""
        if not self._is_writer():
            return b''
        if not self._quarantine.blocks():
            # Replaces a row that this entry wrote before.
            self._content = _EMPTY if self._content else b''
            self._kept = frozenset()
            return self._content
        report = self._quarantine.report(time.monotonic())
        crashed = frozenset(each.endpoint_id for each in report.crashes)
        # Ages grow all the time; only new crashes are a change.
        if crashed != self._kept:
            self._kept = crashed
            self._content = msgspec.json.encode(
                _QuarantineRow(int(time.time() * 1000), report)
            )
        return self._content
