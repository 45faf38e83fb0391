"""Skipping of demand reports that contain nothing new.

A skipped report has the effect of a lost one: no entry lends more, and no
entry counts fewer others. So skipping may leave part of a limit unused, but
never lets the shares exceed it.
"""

from __future__ import annotations

from collections import abc
import math

from godwitvalve.limits import lending
from godwitvalve.limits import model
from godwitvalve.limits import split

# Each report is sent to every entry, so the interval grows with their
# number: 1 s with up to 20 entries, 20 s with 400 or more.
IDLE_INTERVAL_S_PER_ENTRY = 0.05
# Below the 24 s after which an entry that waits for acknowledgements counts
# an unresponsive one as not running. All entries that receive its reports
# send theirs each second while it waits.
MAX_IDLE_INTERVAL_S = 20.0


def idle_interval_s(entries: int) -> float:
    """Return the report interval of an entry that has nothing to report."""
    return min(MAX_IDLE_INTERVAL_S, IDLE_INTERVAL_S_PER_ENTRY * entries)


class ReportThrottle:
    """Decides by the last report sent whether the next may be skipped."""

    def __init__(self) -> None:
        self._sent_s = -math.inf
        self._last_report: model.DemandReport | None = None

    def record_sent(self, report: model.DemandReport, now_s: float) -> None:
        """Record a report that is about to be sent."""
        self._sent_s = now_s
        self._last_report = report

    def may_skip(
        self,
        members_digest: bytes,
        entries: int,
        demands: abc.Mapping[str, float],
        peers: abc.Iterable[lending.PeerState],
        now_s: float,
    ) -> bool:
        """Tell whether a report now would contain nothing new.

        :param peers: listed entries whose demand is known, or that wait
            for acknowledgements.
        """
        last = self._last_report
        if (
            last is None
            or last.demands
            or last.grants
            or last.wants_acknowledgements
        ):
            return False
        if now_s - self._sent_s >= idle_interval_s(entries):
            return False
        if last.members_digest != members_digest:
            return False
        if any(demand >= split.MIN_LOAN for demand in demands.values()):
            return False
        return not any(
            peer.wants_acknowledgements or any(peer.demands.values())
            for peer in peers
        )
