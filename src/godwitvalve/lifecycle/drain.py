"""Decides which requests a planned stop leaves time for; performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

# Reserved for closing the connections and the process before SIGKILL.
CUT_MARGIN_S = 0.4
# Requests without an answer get theirs before the first stream is cut.
ANSWER_MARGIN_S = 0.6


class StopSchedule(NamedTuple):
    """Deadlines of a planned stop, in seconds of the monotonic clock.

    :param began_s: when the drain began.
    :param answer_by_s: when each request has an answer or a refusal.
    :param cut_by_s: when each answer has ended.
    """

    began_s: float
    answer_by_s: float
    cut_by_s: float


def schedule(now_s: float, stop_limit_s: float) -> StopSchedule:
    """Return the deadlines of a stop that begins now.

    :param stop_limit_s: seconds until the process is killed.
    """
    stop_s = now_s + stop_limit_s
    return StopSchedule(now_s, stop_s - ANSWER_MARGIN_S, stop_s - CUT_MARGIN_S)


def shorten(
    stop: StopSchedule, changed: StopSchedule, now_s: float
) -> StopSchedule:
    """Return the schedule of a stop after its limit was changed.

    A shorter limit applies: otherwise the process may be killed while
    requests wait for their answers. A longer one does not, as the platform
    may have set the time of the kill at the stop signal.

    :param changed: schedule by the changed limit. Deadlines that have
        passed move to now, and answers get their time before streams end.
    """
    cut_by_s = max(changed.cut_by_s, now_s + ANSWER_MARGIN_S - CUT_MARGIN_S)
    return stop._replace(
        answer_by_s=min(stop.answer_by_s, max(changed.answer_by_s, now_s)),
        cut_by_s=min(stop.cut_by_s, cut_by_s),
    )


def admits(
    stop: StopSchedule,
    now_s: float,
    deadline_s: float,
    expected_s: float | None = None,
) -> bool:
    """Tell whether a request ends before the stop.

    Load pattern: callers use cached addresses and kept connections for
    seconds after SIGTERM, and endpoints take nearly the time limit of the
    route.

    :param deadline_s: when the request is answered at the latest.
    :param expected_s: seconds that a stream is expected to take, or None
        if it may take until its deadline.
    """
    end_s = deadline_s
    if expected_s is not None:
        end_s = min(end_s, now_s + expected_s)
    return end_s <= stop.answer_by_s


def is_due(stop: StopSchedule, now_s: float, has_begun: bool) -> bool:
    """Tell whether a request in flight has to end now.

    :param has_begun: whether the caller got a part of the answer.
    """
    return now_s >= (stop.cut_by_s if has_begun else stop.answer_by_s)
