"""What is known about the load and health of endpoints."""

from __future__ import annotations

import dataclasses

from godwitvalve.platform import headers as wire

# A reported load says little once the requests that it counted have ended;
# plain calls take 45 ms, and the report travels with an answer.
LOAD_VALID_S = 0.5
# First pause after a failure and the longest one: a crashed zone is back
# within 1.2 s to 4.5 s, so a replica is asked again about each second.
FIRST_EJECTION_S = 0.25
LONGEST_EJECTION_S = 2.0
# How long other entries are told that an endpoint was lost.
LOSS_REPORT_S = 0.6
# A crash lasts 1.2 s and more; an endpoint that is back has a new id, or
# shows by an answer that it is up.
DOWN_S = 0.8


@dataclasses.dataclass
class EndpointStats:
    """Counts and observations about one endpoint.

    :param calls: plain calls of this entry that are under way.
    :param streams: streams of this entry that run there.
    :param starting: those of them without their first event.
    :param backups: streams of this entry that keep a copy there.
    :param failures: failures in a row.
    :param ejected_until_s: it is left out until then.
    :param down_until_s: it is taken as down until then.
    """

    calls: int = 0
    streams: int = 0
    starting: int = 0
    backups: int = 0
    failures: int = 0
    ejected_until_s: float = 0.0
    down_until_s: float = 0.0
    lost_at_s: float = float('-inf')
    loss_reported_at_s: float = float('-inf')
    load: wire.EndpointLoad | None = None
    load_valid_until_s: float = 0.0


class EndpointTracker:
    """Notes by endpoint id; unknown endpoints have no load."""

    def __init__(self) -> None:
        self._stats: dict[str, EndpointStats] = {}

    def stats(self, endpoint_id: str) -> EndpointStats:
        """Return the stats on an endpoint, to be read and changed."""
        return self._stats.setdefault(endpoint_id, EndpointStats())

    def forget(self, endpoint_id: str) -> None:
        """Drop the stats on an endpoint that is gone and idle here."""
        stats = self._stats.get(endpoint_id)
        if stats and not (stats.calls or stats.streams or stats.backups):
            del self._stats[endpoint_id]

    def record_success(
        self, endpoint_id: str, load: wire.EndpointLoad | None, now_s: float
    ) -> None:
        """Note a sound answer."""
        stats = self.stats(endpoint_id)
        stats.failures = 0
        stats.ejected_until_s = 0.0
        stats.down_until_s = 0.0
        self.record_load(endpoint_id, load, now_s)

    def record_load(
        self, endpoint_id: str, load: wire.EndpointLoad | None, now_s: float
    ) -> None:
        """Note a load that an endpoint told."""
        if load is not None:
            stats = self.stats(endpoint_id)
            stats.load = load
            stats.load_valid_until_s = now_s + LOAD_VALID_S

    def record_failure(self, endpoint_id: str, now_s: float) -> None:
        """Note a failure; the endpoint is left out for a while."""
        stats = self.stats(endpoint_id)
        stats.failures += 1
        pause_s = FIRST_EJECTION_S * 2 ** min(stats.failures - 1, 8)
        stats.ejected_until_s = now_s + min(pause_s, LONGEST_EJECTION_S)

    def record_loss(self, endpoint_id: str, now_s: float) -> None:
        """Note that an endpoint ended, is silent or refuses connections."""
        self.record_failure(endpoint_id, now_s)
        stats = self.stats(endpoint_id)
        stats.lost_at_s = now_s
        stats.down_until_s = now_s + DOWN_S

    def record_reported_loss(self, endpoint_id: str, now_s: float) -> None:
        """Note that another entry lost an endpoint within the news time."""
        stats = self.stats(endpoint_id)
        if now_s - stats.lost_at_s < LOSS_REPORT_S:
            return
        stats.loss_reported_at_s = now_s
        stats.ejected_until_s = max(
            stats.ejected_until_s, now_s + FIRST_EJECTION_S
        )
        stats.down_until_s = max(stats.down_until_s, now_s + DOWN_S)

    def recently_lost(self, now_s: float) -> list[str]:
        """Return the endpoints that this entry lost lately."""
        return [
            endpoint_id
            for endpoint_id, stats in self._stats.items()
            if now_s - stats.lost_at_s < LOSS_REPORT_S
        ]

    def placements(self) -> dict[str, tuple[int, int, int]]:
        """Return streams, starting ones and backups by endpoint."""
        return {
            endpoint_id: (stats.streams, stats.starting, stats.backups)
            for endpoint_id, stats in self._stats.items()
            if stats.streams or stats.backups
        }
