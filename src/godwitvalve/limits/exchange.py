"""Reports that this entry has sent and received."""

from __future__ import annotations

import collections

from godwitvalve.limits import lending
from godwitvalve.limits import model

# Two reports in a row may be lost before an entry's demand counts as
# unknown.
DEMAND_FRESH_S = 3.0
# Own reports whose send time is stored; more than are sent during a lease.
_MAX_SENT_REPORTS = 64


class ReportExchange:
    """Newest report of each other entry, and send times of own reports.

    :param incarnation: distinguishes this process from others of the same
        entry id.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sequence = 0
        self._sent_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._peers: dict[str, lending.PeerState] = {}

    def begin_report(self, now_s: float) -> None:
        """Number the next own report and record its send time."""
        self.sequence += 1
        self._sent_s[self.sequence] = now_s
        if len(self._sent_s) > _MAX_SENT_REPORTS:
            self._sent_s.popitem(last=False)

    def sent_s(self, incarnation: int, sequence: int) -> float | None:
        """Return when an own report was sent, or None if unknown."""
        if incarnation != self.incarnation:
            return None
        return self._sent_s.get(sequence)

    def is_new(self, report: model.DemandReport) -> bool:
        """Tell whether a report is newer than the stored one of its entry."""
        known = self._peers.get(report.origin)
        if known is None:
            return True
        stamp = (report.incarnation, report.sequence)
        return stamp > (known.incarnation, known.sequence)

    def is_restart(self, report: model.DemandReport) -> bool:
        """Tell whether a report is the first one of a restarted entry."""
        known = self._peers.get(report.origin)
        return known is not None and known.incarnation != report.incarnation

    def record_received(
        self, report: model.DemandReport, now_s: float
    ) -> None:
        """Store a report as the newest one of its entry."""
        self._peers[report.origin] = lending.PeerState(
            report.incarnation,
            report.sequence,
            now_s,
            report.active,
            {item.client_account: item for item in report.demands},
            report.wants_acknowledgements,
        )

    def remove_unlisted(self, listed: frozenset[str], now_s: float) -> None:
        """Remove unlisted entries whose reports are no longer fresh."""
        self._peers = {
            entry: peer
            for entry, peer in self._peers.items()
            if entry in listed or now_s - peer.received_s < DEMAND_FRESH_S
        }

    def fresh(
        self, listed: frozenset[str], now_s: float
    ) -> dict[str, lending.PeerState]:
        """Return the listed entries whose newest report is fresh."""
        return {
            entry: peer
            for entry, peer in self._peers.items()
            if now_s - peer.received_s < DEMAND_FRESH_S and entry in listed
        }

    def interested(
        self, listed: frozenset[str], now_s: float
    ) -> list[lending.PeerState]:
        """Return the listed entries to which a report may matter.

        They want acknowledgements, or their demand is fresh and may get
        loans.
        """
        return [
            peer
            for entry, peer in self._peers.items()
            if entry in listed
            and (
                peer.wants_acknowledgements
                or now_s - peer.received_s < DEMAND_FRESH_S
            )
        ]

    def acknowledgements(
        self, listed: frozenset[str]
    ) -> tuple[model.Acknowledgement, ...]:
        """Return acknowledgements for the listed entries that want them."""
        return tuple(
            model.Acknowledgement(entry, peer.incarnation, peer.sequence)
            for entry, peer in self._peers.items()
            if entry in listed and peer.wants_acknowledgements
        )
