"""What happened to this process lately, for the log of a failed request."""

from __future__ import annotations

from typing import TypedDict

from godwitvalve.diagnostics import loop_pauses

# A timer that fires more often costs processor time on idle entries.
PERIOD_S = 0.25


class HistoryFields(TypedDict):
    """Fields of a log line; None for what has not happened."""

    since_configuration_ms: int | None
    since_reload_ms: int | None
    longest_pause_ms: int


class ProcessHistory:
    """Times of the last changes and recent pauses of the event loop.

    Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self.pauses = loop_pauses.LoopPauses(PERIOD_S)
        self._installed_s: float | None = None
        self._reloaded_s: float | None = None

    def record_configuration(self, now_s: float) -> None:
        """Record that a configuration was installed."""
        self._installed_s = now_s

    def record_reload(self, now_s: float) -> None:
        """Record that the settings are read again because of SIGHUP."""
        self._reloaded_s = now_s

    def fields(self, now_s: float) -> HistoryFields:
        """Return what to log about a request that ends now."""
        return {
            'since_configuration_ms': _since_ms(self._installed_s, now_s),
            'since_reload_ms': _since_ms(self._reloaded_s, now_s),
            'longest_pause_ms': round(self.pauses.longest_s(now_s) * 1000),
        }


def _since_ms(at_s: float | None, now_s: float) -> int | None:
    return None if at_s is None else round((now_s - at_s) * 1000)
