"""Endpoints that processed prompts, so that retries can reuse them."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

# Callers retry within seconds of an interrupted stream; after this period the
# endpoint has reused the memory of the prompt.
RETENTION_S = 15.0
MAX_SESSIONS = 4096


class _RecentSession(NamedTuple):
    endpoint_id: str
    expires_s: float


class SessionTable:
    """Endpoints by session, the last part of the prompts they processed.

    Load pattern: all entries are killed at once, and the callers of their
    streams retry at other entries. Processing a prompt a second time keeps
    an endpoint busy for a second.
    """

    def __init__(self) -> None:
        self._running: dict[str, str] = {}
        self._recent: dict[str, _RecentSession] = {}

    def begin(self, session: str, endpoint_id: str) -> None:
        """Record that a stream of this entry runs at an endpoint."""
        if session:
            self._running[session] = endpoint_id

    def end(self, session: str, is_complete: bool, now_s: float) -> None:
        """Record the end of a stream; an interrupted one may be retried."""
        endpoint_id = self._running.pop(session, None)
        if endpoint_id is not None and not is_complete:
            self.merge({session: endpoint_id}, now_s)

    def merge(self, sessions: abc.Mapping[str, str], now_s: float) -> None:
        """Merge sessions that another entry reported."""
        for session, endpoint_id in sessions.items():
            self._recent.pop(session, None)
            self._recent[session] = _RecentSession(
                endpoint_id, now_s + RETENTION_S
            )
        while len(self._recent) > MAX_SESSIONS:
            del self._recent[next(iter(self._recent))]

    def find(self, session: str, now_s: float) -> str | None:
        """Return the endpoint that processed a prompt recently, if any."""
        recent = self._recent.get(session)
        if recent is None or recent.expires_s < now_s:
            return None
        return recent.endpoint_id

    def expire(self, now_s: float) -> None:
        """Drop expired sessions; the oldest comes first."""
        while self._recent:
            session, recent = next(iter(self._recent.items()))
            if recent.expires_s >= now_s:
                return
            del self._recent[session]

    def running(self) -> dict[str, str]:
        """Return endpoints by session for the running streams."""
        return dict(self._running)
