"""Load and health of endpoints as this entry observes them."""

from __future__ import annotations

import dataclasses

from godwitvalve.platform import headers as wire

# A load report is out of date once the requests that it counted have ended.
# Plain calls take 45 ms, and reports arrive with answers.
LOAD_VALID_S = 0.5
# An ejection doubles with each consecutive failure. A crashed failure domain
# restarts within 1.2 s to 4.5 s, so an endpoint is retried about every second.
FIRST_EJECTION_S = 0.25
LONGEST_EJECTION_S = 2.0
# How long a loss is reported to other entries.
LOSS_REPORT_S = 0.6
# How long a lost endpoint counts as down. A crash lasts at least 1.2 s; a
# restarted endpoint has a new id, and an answer ends the period early.
DOWN_S = 0.8
# How long an endpoint that declined a stream counts as full. Streams last
# about 6 s and a full endpoint runs about ten, so that one ends by then.
FULL_S = 1.0


@dataclasses.dataclass
class EndpointStats:
    """Counts and observations about one endpoint.

    :param calls: plain calls of this entry in flight.
    :param streams: streams of this entry that run there.
    :param starting: streams that have not received their first event.
    :param backups: streams of this entry whose backup is kept there.
    :param held_tokens: tokens that its streams will hold at their end, for
        services with admission of streams.
    :param unread_tokens: tokens of their prompts without an event yet.
    :param failures: consecutive failures.
    :param ejected_until_s: monotonic seconds until which it is avoided.
    :param down_until_s: monotonic seconds until which it counts as down.
    :param lost_at_s: monotonic seconds of the last loss seen by this entry.
    :param loss_reported_at_s: monotonic seconds at which another entry last
        reported its loss.
    :param full_until_s: monotonic seconds until which it counts as full for
        streams.
    :param load: last reported load.
    :param load_valid_until_s: monotonic seconds until which it is used.
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
    full_until_s: float = 0.0
    load: wire.EndpointLoad | None = None
    load_valid_until_s: float = 0.0
    held_tokens: int = 0
    unread_tokens: int = 0


class EndpointTracker:
    """Statistics by endpoint id; unknown endpoints have no load."""

    def __init__(self) -> None:
        self._stats: dict[str, EndpointStats] = {}

    def stats(self, endpoint_id: str) -> EndpointStats:
        """Return the mutable statistics of an endpoint."""
        return self._stats.setdefault(endpoint_id, EndpointStats())

    def copy(self) -> EndpointTracker:
        """Return statistics of their own with the same contents."""
        copied = EndpointTracker()
        copied._stats = {
            endpoint_id: dataclasses.replace(stats)
            for endpoint_id, stats in self._stats.items()
        }
        return copied

    def forget(self, endpoint_id: str) -> None:
        """Drop the statistics of a removed endpoint without own requests."""
        stats = self._stats.get(endpoint_id)
        if stats and not (stats.calls or stats.streams or stats.backups):
            del self._stats[endpoint_id]

    def record_success(
        self, endpoint_id: str, load: wire.EndpointLoad | None, now_s: float
    ) -> None:
        """Record a valid answer; it ends an ejection."""
        stats = self.stats(endpoint_id)
        stats.failures = 0
        stats.ejected_until_s = 0.0
        stats.down_until_s = 0.0
        self.record_load(endpoint_id, load, now_s)

    def record_load(
        self, endpoint_id: str, load: wire.EndpointLoad | None, now_s: float
    ) -> None:
        """Record the counts of a load report if there is one.

        Those of a report with a pace are not used. Where machines are shared
        with others, many entries send few calls each, so that the requests
        that a report counts have ended before the next call is placed.
        """
        if load is not None and load.pace is None:
            stats = self.stats(endpoint_id)
            stats.load = load
            stats.load_valid_until_s = now_s + LOAD_VALID_S

    def record_full(self, endpoint_id: str, now_s: float) -> None:
        """Record that an endpoint declined a stream."""
        self.stats(endpoint_id).full_until_s = now_s + FULL_S

    def record_recovery(self, endpoint_id: str, now_s: float) -> None:
        """Record that an endpoint that counted as lost goes on."""
        self.record_success(endpoint_id, None, now_s)
        stats = self.stats(endpoint_id)
        stats.lost_at_s = stats.loss_reported_at_s = float('-inf')

    def record_failure(self, endpoint_id: str, now_s: float) -> None:
        """Record a failure and eject the endpoint for a growing period."""
        stats = self.stats(endpoint_id)
        stats.failures += 1
        pause_s = FIRST_EJECTION_S * 2 ** min(stats.failures - 1, 8)
        stats.ejected_until_s = now_s + min(pause_s, LONGEST_EJECTION_S)

    def record_loss(self, endpoint_id: str, now_s: float) -> None:
        """Record that an endpoint ended, hangs or refuses connections."""
        self.record_failure(endpoint_id, now_s)
        stats = self.stats(endpoint_id)
        stats.lost_at_s = now_s
        stats.down_until_s = now_s + DOWN_S

    def record_reported_loss(self, endpoint_id: str, now_s: float) -> None:
        """Record a loss that another entry reported.

        A loss that this entry saw itself within the last
        ``LOSS_REPORT_S`` takes precedence.
        """
        stats = self.stats(endpoint_id)
        if now_s - stats.lost_at_s < LOSS_REPORT_S:
            return
        stats.loss_reported_at_s = now_s
        stats.ejected_until_s = max(
            stats.ejected_until_s, now_s + FIRST_EJECTION_S
        )
        stats.down_until_s = max(stats.down_until_s, now_s + DOWN_S)

    def recently_lost(self, now_s: float) -> list[str]:
        """Return the losses that are still reported to other entries."""
        return [
            endpoint_id
            for endpoint_id, stats in self._stats.items()
            if now_s - stats.lost_at_s < LOSS_REPORT_S
        ]

    def placements(self) -> dict[str, tuple[int, int, int]]:
        """Return counts of streams, starting streams and backups."""
        return {
            endpoint_id: (stats.streams, stats.starting, stats.backups)
            for endpoint_id, stats in self._stats.items()
            if stats.streams or stats.backups
        }

    def placement_tokens(self) -> dict[str, tuple[int, int]]:
        """Return held and unread tokens of the streams of this entry."""
        return {
            endpoint_id: (stats.held_tokens, stats.unread_tokens)
            for endpoint_id, stats in self._stats.items()
            if stats.held_tokens
        }
