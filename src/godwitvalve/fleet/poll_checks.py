"""Decides when a poll of the store that may be silent is ended."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.platform import store as stores

# Entries read the same change some milliseconds apart, or up to 240 ms if the
# store is degraded.
REPORT_GRACE_S = 0.25
# Shorter polls end soon enough by their time limit.
MIN_CHECKED_WAIT_S = 1.0

SILENCE = 'silence'
BEHIND = 'behind'
OVERDUE = 'overdue'


class Poll(NamedTuple):
    """A call that waits for changes.

    :param began_s: monotonic seconds of its start.
    :param wait_s: seconds for which it may wait.
    """

    began_s: float
    wait_s: float

    @property
    def is_checked(self) -> bool:
        """Tell whether it may be ended before its time limit."""
        return self.wait_s > MIN_CHECKED_WAIT_S


class PollChecks:
    """What an entry knows about the answers that a table's poll lacks.

    Load pattern: the store loses its answers for a moment. Their connections
    stay silent, and a poll of 8 s without an answer ends 9.5 s after its
    start, though the store has been up for seconds.
    """

    def __init__(self) -> None:
        # Revision of the newest row that was read.
        self.newest_row = stores.StoreRevision(0, 0)
        self._read = stores.StoreRevision(0, 0)
        self._reported = stores.StoreRevision(0, 0)
        self._reported_s = float('inf')
        self._silent_s = float('-inf')

    def record_silence(self, now_s: float) -> None:
        """Record that another call to the store got no answer.

        :param now_s: monotonic seconds.
        """
        self._silent_s = now_s

    def record_report(
        self, newest_row: stores.StoreRevision, now_s: float
    ) -> None:
        """Record the newest row that another entry has read.

        Each newer row is a reason to ask the store once: one that the store
        does not confirm has no further effect.

        :param now_s: monotonic seconds.
        """
        if newest_row > max(self._reported, self._read):
            self._reported = newest_row
            # Rows that follow one another must not postpone the check.
            self._reported_s = min(self._reported_s, now_s)

    def record_read(
        self, rows: list[stores.StoredRow], read: stores.StoreRevision
    ) -> None:
        """Record an answer.

        :param read: revision up to which it is complete.
        """
        self._read = read
        self.newest_row = max(
            self.newest_row,
            *(stores.StoreRevision(read.era, row.version) for row in rows),
            stores.StoreRevision(0, 0),
        )
        if read >= self._reported:
            self._reported_s = float('inf')

    def end_reason(
        self, poll: Poll, longest_wait_s: float, now_s: float
    ) -> str | None:
        """Return why a poll is ended and the store asked at once, or None.

        :param longest_wait_s: seconds that a poll may wait now, which are
            fewer once this entry reads the store for its failure domain.
        :param now_s: monotonic seconds.
        """
        if not poll.is_checked:
            return None
        if self._silent_s >= poll.began_s:
            return SILENCE
        # A poll that began after the report gets the same time to answer.
        behind_from_s = max(self._reported_s, poll.began_s) + REPORT_GRACE_S
        if now_s >= behind_from_s:
            self._reported_s = float('inf')
            return BEHIND
        limit_s = longest_wait_s + stores.FEED_TIMEOUT_MARGIN_S
        if now_s >= poll.began_s + limit_s:
            return OVERDUE
        return None
