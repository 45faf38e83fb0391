"""How long an endpoint may be silent before its stream goes on elsewhere."""

from __future__ import annotations

from typing import TypeVar

Awaited = TypeVar('Awaited')

# How often a silent stream is looked at.
POLL_PERIOD_S = 0.05
# Share of the longest pause that is in time. The rest is for the copy at
# another endpoint, which gives its next event within 0.1 s.
GAP_LIMIT_SHARE = 0.6
# A prompt that is read beside a stream spreads its events to 0.2 s; below
# this, sound streams would be moved.
MIN_GAP_LIMIT_S = 0.4


# While a prompt is read nothing is sent for about a second. A connection
# attempt each 0.7 s falls into every outage of 1.2 s.
CHECK_PERIOD_S = 0.7


class GapMonitor:
    """Tells silence from a slow stream.

    Load pattern: all endpoints of a zone go dark at once and send no
    reset. Streams with events show it by their gap; those whose prompt is
    still read follow once another stream at their endpoint showed it.

    :param max_gap_s: longest pause between events that is in time.
    """

    def __init__(self, max_gap_s: float) -> None:
        self._limit_s = max(max_gap_s * GAP_LIMIT_SHARE, MIN_GAP_LIMIT_S)

    def is_check_due(self, idle_s: float, has_events: bool) -> bool:
        """Tell whether to ask the endpoint for a connection.

        :param idle_s: time since the send or the last check.
        """
        return not has_events and idle_s > CHECK_PERIOD_S

    def is_unresponsive(
        self, idle_s: float, has_events: bool, is_reported_lost: bool
    ) -> bool:
        """Tell whether a stream should go on at another endpoint.

        :param idle_s: time since the last event, or since the send.
        :param has_events: whether this run has sent an event.
        :param is_reported_lost: whether another stream at the endpoint fell
            silent meanwhile, or another start has its address.
        """
        if has_events:
            return idle_s > self._limit_s
        return is_reported_lost
