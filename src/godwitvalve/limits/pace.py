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
QUIET_S_PER_ENTRY = 0.05
# Below the 24 s after which a waiting entry takes a silent one for not
# running; while an entry waits, all that hear it report each second.
QUIET_LIMIT_S = 20.0


def quiet_interval_s(entries: int) -> float:
    """Return how long an entry may be silent that has nothing to say."""
    return min(QUIET_LIMIT_S, QUIET_S_PER_ENTRY * entries)


class ReportPace:
    """Remembers what the last report said."""

    def __init__(self) -> None:
        self._sent_s = -math.inf
        self._said: model.DemandReport | None = None

    def note(self, report: model.DemandReport, now_s: float) -> None:
        """Record that a report is sent."""
        self._sent_s = now_s
        self._said = report

    def may_skip(
        self,
        members_digest: bytes,
        entries: int,
        demands: abc.Mapping[str, float],
        peers: abc.Iterable[lending.Peer],
        now_s: float,
    ) -> bool:
        """Tell whether the next report would say nothing new.

        :param peers: listed entries whose demand is known, or that wait
            for acknowledgements.
        """
        said = self._said
        if said is None or said.demands or said.grants or said.wants_heard:
            return False
        if now_s - self._sent_s >= quiet_interval_s(entries):
            return False
        if said.members_digest != members_digest:
            return False
        if any(demand >= split.LEAST_LOAN for demand in demands.values()):
            return False
        return not any(
            peer.wants_heard or any(peer.demands.values()) for peer in peers
        )
