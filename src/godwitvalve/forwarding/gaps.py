"""Detects endpoints that stopped sending the events of a stream."""

from __future__ import annotations

from typing import TypeVar

Awaited = TypeVar('Awaited')

# Period at which a waiting stream is checked.
POLL_PERIOD_S = 0.05
# Share of the allowed gap between events after which a stream moves. The
# rest is for its copy at another endpoint, which sends the next event
# within 0.1 s.
GAP_LIMIT_SHARE = 0.6
# While an endpoint processes another prompt, the events of its streams are
# 0.2 s apart. A lower limit would move healthy streams.
MIN_GAP_LIMIT_S = 0.4
# While a prompt is processed, nothing is sent for about a second. A
# connection check each 0.7 s falls into every outage of 1.2 s.
CHECK_PERIOD_S = 0.7
# On shared machines, events are up to 0.6 s apart while an endpoint processes
# another prompt, so the gap alone is no sign of a loss. After this share of
# the allowed gap a connection check tells a slow endpoint from a lost one; a
# lost one is left as soon as without the check.
SHARED_CHECK_SHARE = 0.45
# Time for the check of a stream with events. Connections take 4 ms.
SHARED_CHECK_LIMIT_S = 0.1
# Multiple of the allowed gap after which a stream leaves an endpoint that
# accepts connections. Its answer is late by then; it may be hanging.
HANGING_SHARE = 1.5


class GapMonitor:
    """Distinguishes an unresponsive endpoint from a slow stream.

    All endpoints of a failure domain may become unreachable at once
    without a reset. A stream with events detects this by the gap; a stream
    whose prompt is still processed follows once another stream at its
    endpoint detected it.

    Endpoints on shared machines are slow at times. Streams that leave them
    make the others read their prompts again.

    :param max_gap_s: allowed gap between events.
    :param objective_s: time within which the first event is due.
    :param is_shared: whether the endpoints share their machines.
    """

    def __init__(
        self, max_gap_s: float, objective_s: float, is_shared: bool = False
    ) -> None:
        self._limit_s = max(max_gap_s * GAP_LIMIT_SHARE, MIN_GAP_LIMIT_S)
        self._check_s = max(
            max_gap_s * SHARED_CHECK_SHARE,
            MIN_GAP_LIMIT_S - SHARED_CHECK_LIMIT_S,
        )
        self._hanging_s = max(max_gap_s * HANGING_SHARE, self._limit_s)
        self._objective_s = objective_s
        self._is_shared = is_shared

    def is_stalled(self, idle_s: float, has_events: bool) -> bool:
        """Tell whether the endpoint held up a request that ends now.

        :param idle_s: time since the last new event.
        """
        return idle_s > (self._limit_s if has_events else self._objective_s)

    def is_check_due(self, idle_s: float, has_events: bool) -> bool:
        """Tell whether to check that the endpoint accepts connections.

        :param idle_s: time since the request was sent, its last new event
            or its last check.
        """
        if has_events:
            return self._is_shared and idle_s > self._check_s
        return idle_s > CHECK_PERIOD_S

    def is_unresponsive(
        self,
        idle_s: float,
        has_events: bool,
        is_reported_lost: bool,
        is_reachable: bool = False,
    ) -> bool:
        """Tell whether a stream should continue at another endpoint.

        :param idle_s: time since the last new event; other bytes are no
            progress.
        :param has_events: whether this attempt has received an event.
        :param is_reported_lost: whether another stream found the endpoint
            unresponsive meanwhile, or the endpoint was replaced.
        :param is_reachable: whether the endpoint accepted a connection since
            the last new event.
        """
        if has_events:
            return idle_s > (
                self._hanging_s if is_reachable else self._limit_s
            )
        return is_reported_lost
