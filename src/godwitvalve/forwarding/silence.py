"""Decides whether a stream leaves a silent endpoint.

A sound endpoint may send nothing for a second or so and go on. A stream that
left it and finds no place elsewhere would be cut although its first endpoint
would have completed it. Performs no input or output.
"""

from __future__ import annotations

from collections import abc
import math
from typing import NamedTuple

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import policy
from godwitvalve.forwarding import replies
from godwitvalve.placement import choose
from godwitvalve.placement import tracker as trackers


class StreamProgress(NamedTuple):
    """State of a stream that may go on at another endpoint.

    :param possible_runs: number of attempts that may have run.
    :param max_runs: number of endpoints that may run the stream.
    :param remaining_s: seconds to its deadline.
    """

    possible_runs: int
    max_runs: int
    is_resumable: bool
    remaining_s: float


def obstacle(progress: StreamProgress) -> replies.IncompleteReason | None:
    """Return why a stream may not be sent again; None if it may."""
    if progress.remaining_s < policy.MIN_ATTEMPT_S:
        return replies.IncompleteReason.DEADLINE
    if progress.possible_runs >= progress.max_runs:
        return replies.IncompleteReason.NOT_RETRYABLE
    if progress.possible_runs and not progress.is_resumable:
        return replies.IncompleteReason.NOT_RETRYABLE
    return None


def is_open(
    endpoint: endpoints.FleetEndpoint,
    stats: trackers.EndpointStats,
    placements: choose.Placements,
    now_s: float,
    may_be_full: bool = False,
) -> bool:
    """Tell whether an endpoint has room for a stream, as far as known.

    :param may_be_full: whether it may have declined a stream lately.
    """
    if now_s < stats.down_until_s:
        return False
    if now_s < stats.full_until_s and not may_be_full:
        return False
    if stats.load is not None and now_s < stats.load_valid_until_s:
        if stats.load.running + stats.load.waiting >= endpoint.slots:
            return False
    return stats.streams + placements.streams < endpoint.slots


def successors(
    candidates: abc.Iterable[endpoints.FleetEndpoint],
    silent_id: str,
    tracker: trackers.EndpointTracker,
    remote_placements: choose.RemotePlacements,
    now_s: float,
    ask_full_from_s: float = math.inf,
) -> list[endpoints.FleetEndpoint]:
    """Return the candidates that a stream may leave a silent endpoint for.

    A stream that was declined asks again sooner than others try a full
    endpoint, as the silent one may be dead.

    :param silent_id: id of the silent endpoint.
    :param ask_full_from_s: when endpoints that declined a stream may be
        asked again if there are no others.
    """
    others = [each for each in candidates if each.endpoint_id != silent_id]

    def are_open(may_be_full: bool) -> list[endpoints.FleetEndpoint]:
        return [
            each
            for each in others
            if is_open(
                each,
                tracker.stats(each.endpoint_id),
                remote_placements.get(each.endpoint_id, choose.Placements()),
                now_s,
                may_be_full,
            )
        ]

    return are_open(False) or are_open(now_s >= ask_full_from_s)
