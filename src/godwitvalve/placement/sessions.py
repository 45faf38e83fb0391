"""Where prompts were read, so that a repeat finds them again."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple

# Callers come back within seconds of a broken stream; after this the
# endpoint has given the memory to others.
RETENTION_S = 15.0
MAX_SESSIONS = 4096


class _RecentSession(NamedTuple):
    endpoint_id: str
    expires_s: float


class SessionTable:
    """Endpoints by the last part of the prompts that they read.

    Load pattern: all entries are killed at once, and the callers of their
    streams come back to other entries. Each prompt that is read a second
    time keeps an endpoint busy for a second.
    """

    def __init__(self) -> None:
        self._running: dict[str, str] = {}
        self._recent: dict[str, _RecentSession] = {}

    def begin(self, session: str, endpoint_id: str) -> None:
        """Note that a stream of this entry runs at an endpoint."""
        if session:
            self._running[session] = endpoint_id

    def end(self, session: str, is_complete: bool, now_s: float) -> None:
        """Note that a stream ended; a broken one may come back."""
        endpoint_id = self._running.pop(session, None)
        if endpoint_id is not None and not is_complete:
            self.merge({session: endpoint_id}, now_s)

    def merge(self, sessions: abc.Mapping[str, str], now_s: float) -> None:
        """Take what another entry told."""
        for session, endpoint_id in sessions.items():
            self._recent.pop(session, None)
            self._recent[session] = _RecentSession(
                endpoint_id, now_s + RETENTION_S
            )
        while len(self._recent) > MAX_SESSIONS:
            del self._recent[next(iter(self._recent))]

    def find(self, session: str, now_s: float) -> str | None:
        """Return the endpoint that read a prompt, if it was lately."""
        recent = self._recent.get(session)
        if recent is None or recent.expires_s < now_s:
            return None
        return recent.endpoint_id

    def expire(self, now_s: float) -> None:
        """Forget what was seen too long ago; the oldest comes first."""
        while self._recent:
            session, recent = next(iter(self._recent.items()))
            if recent.expires_s >= now_s:
                return
            del self._recent[session]

    def running(self) -> dict[str, str]:
        """Return the sessions of this entry's streams."""
        return dict(self._running)
