"""When an entry may leave out a demand report.

A report that is left out has the effect of one that is lost: no entry
lends more, and no entry counts fewer others. So leaving out can cost the
use of a limit, but never lets the shares exceed it.
"""

from __future__ import annotations

from collections import abc
import math

from godwitvalve.limits import lending
from godwitvalve.limits import model
from godwitvalve.limits import split

# Each report reaches every entry, so the interval grows with their number:
# up to 20 entries report each second, 400 and more each 20 s.
IDLE_INTERVAL_S_PER_ENTRY = 0.05
# Below the 24 s after which a waiting entry takes a silent one for not
# running; while an entry waits, all that hear it report each second.
MAX_IDLE_INTERVAL_S = 20.0


def idle_interval_s(entries: int) -> float:
    """Return how long an entry may be silent that has nothing to say."""
    return min(MAX_IDLE_INTERVAL_S, IDLE_INTERVAL_S_PER_ENTRY * entries)


class ReportThrottle:
    """Remembers the content of the last report sent."""

    def __init__(self) -> None:
        self._sent_s = -math.inf
        self._last_report: model.DemandReport | None = None

    def record_sent(self, report: model.DemandReport, now_s: float) -> None:
        """Record that a report is sent."""
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
        """Tell whether the next report would say nothing new.

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
