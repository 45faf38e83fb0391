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
LOSS_NEWS_S = 0.6
# A crash lasts 1.2 s and more; an endpoint that is back has a new id, or
# shows by an answer that it is up.
LOST_S = 0.8


@dataclasses.dataclass
class EndpointNotes:
    """Counts and observations about one endpoint.

    :param calls: plain calls of this entry that are under way.
    :param streams: streams of this entry that run there.
    :param starting: those of them without their first event.
    :param backups: streams of this entry that keep a copy there.
    :param failures: failures in a row.
    :param out_until_s: it is left out until then.
    :param lost_until_s: it is taken as down until then.
    """

    calls: int = 0
    streams: int = 0
    starting: int = 0
    backups: int = 0
    failures: int = 0
    out_until_s: float = 0.0
    lost_until_s: float = 0.0
    silent_since_s: float = float('-inf')
    heard_lost_s: float = float('-inf')
    load: wire.EndpointLoad | None = None
    load_until_s: float = 0.0


class EndpointBook:
    """Notes by endpoint id; unknown endpoints have no load."""

    def __init__(self) -> None:
        self._notes: dict[str, EndpointNotes] = {}

    def notes(self, endpoint_id: str) -> EndpointNotes:
        """Return the notes on an endpoint, to be read and changed."""
        return self._notes.setdefault(endpoint_id, EndpointNotes())

    def forget(self, endpoint_id: str) -> None:
        """Drop the notes on an endpoint that is gone and idle here."""
        notes = self._notes.get(endpoint_id)
        if notes and not (notes.calls or notes.streams or notes.backups):
            del self._notes[endpoint_id]

    def succeeded(
        self, endpoint_id: str, load: wire.EndpointLoad | None, now_s: float
    ) -> None:
        """Note a sound answer."""
        notes = self.notes(endpoint_id)
        notes.failures = 0
        notes.out_until_s = 0.0
        notes.lost_until_s = 0.0
        self.reported(endpoint_id, load, now_s)

    def reported(
        self, endpoint_id: str, load: wire.EndpointLoad | None, now_s: float
    ) -> None:
        """Note a load that an endpoint told."""
        if load is not None:
            notes = self.notes(endpoint_id)
            notes.load = load
            notes.load_until_s = now_s + LOAD_VALID_S

    def failed(self, endpoint_id: str, now_s: float) -> None:
        """Note a failure; the endpoint is left out for a while."""
        notes = self.notes(endpoint_id)
        notes.failures += 1
        pause_s = FIRST_EJECTION_S * 2 ** min(notes.failures - 1, 8)
        notes.out_until_s = now_s + min(pause_s, LONGEST_EJECTION_S)

    def was_lost(self, endpoint_id: str, now_s: float) -> None:
        """Note that an endpoint ended, is silent or refuses connections."""
        self.failed(endpoint_id, now_s)
        notes = self.notes(endpoint_id)
        notes.silent_since_s = now_s
        notes.lost_until_s = now_s + LOST_S

    def heard_lost(self, endpoint_id: str, now_s: float) -> None:
        """Note that another entry lost an endpoint within the news time."""
        notes = self.notes(endpoint_id)
        if now_s - notes.silent_since_s < LOSS_NEWS_S:
            return
        notes.heard_lost_s = now_s
        notes.out_until_s = max(notes.out_until_s, now_s + FIRST_EJECTION_S)
        notes.lost_until_s = max(notes.lost_until_s, now_s + LOST_S)

    def lost(self, now_s: float) -> list[str]:
        """Return the endpoints that this entry lost lately."""
        return [
            endpoint_id
            for endpoint_id, notes in self._notes.items()
            if now_s - notes.silent_since_s < LOSS_NEWS_S
        ]

    def placements(self) -> dict[str, tuple[int, int, int]]:
        """Return streams, starting ones and backups by endpoint."""
        return {
            endpoint_id: (notes.streams, notes.starting, notes.backups)
            for endpoint_id, notes in self._notes.items()
            if notes.streams or notes.backups
        }
