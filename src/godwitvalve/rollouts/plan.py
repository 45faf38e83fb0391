"""Share of the new version over the time of a roll-out."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.rollouts import judge
from godwitvalve.rollouts import orders

# Time in which what runs at the old version ends: streams last about 6 s.
STREAM_SETTLE_S = 6.0
CALL_SETTLE_S = 0.5
# Left of the time asked for when the store is told of the end, as a part
# and at least; the store answers in milliseconds but may be slow.
COMPLETE_MARGIN = 0.07
LEAST_COMPLETE_MARGIN_S = 0.5
# Earliest and latest part at which the new version gets all requests.
WHOLE_EARLIEST = 0.5
WHOLE_LATEST = 0.86
# From here on doubts below the proof decide against the version.
DOUBTS_DECIDE_FROM = 0.85
# Largest share while the versions are compared: beyond it the old version
# has too few requests to compare with.
WATCH_SHARE = 0.4
# Part of the allowed exposure that is used before the new version has shown
# itself; the rest is for requests that others send in the same second.
SAFE_EXPOSURE = 0.7
# Slots of the new version that must be there, as a part of the old ones.
ENOUGH_SLOTS = 0.6


class RolloutView(NamedTuple):
    """What is known when the share is planned.

    :param elapsed_s: time since the order.
    :param duration_s: time asked for.
    :param settle_s: time in which requests at the old version end.
    :param sent: sends to either version by all entries.
    :param sent_new: those of them to the new version.
    :param doubt: strongest evidence against the new version.
    """

    elapsed_s: float
    duration_s: float
    settle_s: float
    sent: int
    sent_new: int
    doubt: float
    new_slots: int
    old_slots: int

    @property
    def part(self) -> float:
        """Return the passed part of the time asked for."""
        return self.elapsed_s / max(self.duration_s, 1e-3)

    @property
    def complete_from(self) -> float:
        """Return the part from which the roll-out may be complete."""
        margin_s = max(
            COMPLETE_MARGIN * self.duration_s, LEAST_COMPLETE_MARGIN_S
        )
        return 1.0 - margin_s / max(self.duration_s, 1e-3)

    @property
    def whole_from(self) -> float:
        """Return the part from which a sound version gets everything."""
        settled = self.settle_s / max(self.duration_s, 1e-3)
        from_part = self.complete_from - settled
        return min(max(from_part, WHOLE_EARLIEST), WHOLE_LATEST)


def exposure_left(view: RolloutView, limits: orders.ExposureLimits) -> float:
    """Return how many more requests an untested version may get."""
    allowed = limits.share * view.sent + limits.slack
    return SAFE_EXPOSURE * allowed - view.sent_new


def has_room(view: RolloutView) -> bool:
    """Tell whether the new version can carry the service."""
    return view.new_slots >= ENOUGH_SLOTS * view.old_slots


def plan_share(view: RolloutView, limits: orders.ExposureLimits) -> float:
    """Return the share of requests that the new version gets.

    Load pattern: a bad version may get a tenth of the requests and some
    more. A quiet service has too few requests to tell in that tenth, so
    what is allowed beyond it is used first; a busy one has plenty.
    """
    if not view.new_slots:
        return 0.0
    is_late = view.part >= DOUBTS_DECIDE_FROM
    most_doubt = judge.DOUBT if is_late else judge.HESITATION
    may_grow = view.doubt < most_doubt and has_room(view)
    if view.part >= view.whole_from and may_grow:
        return 1.0
    return _watch_share(view, limits)


def _watch_share(view: RolloutView, limits: orders.ExposureLimits) -> float:
    """Return a share that uses the allowed exposure over the comparison."""
    left = exposure_left(view, limits)
    if left <= 0:
        return 0.0
    parts_to_come = max(view.whole_from / max(view.part, 0.05) - 1.0, 0.2)
    return min(WATCH_SHARE, left / max(view.sent * parts_to_come, 1.0))


class Progress(NamedTuple):
    """What decides about the end of a roll-out.

    :param blame: what is proved against the new version.
    """

    view: RolloutView
    blame: str | None


def take_back_reason(progress: Progress) -> str | None:
    """Return why the new version is taken back, or None."""
    view = progress.view
    if progress.blame:
        return progress.blame
    if view.part >= DOUBTS_DECIDE_FROM and view.doubt >= judge.DOUBT:
        return f'doubts remain (evidence {view.doubt:.0f} to 1)'
    if view.part >= 1.0 and not has_room(view):
        return 'the new version has too few endpoints'
    return None


def is_complete(progress: Progress) -> bool:
    """Tell whether the old version may be stopped."""
    view = progress.view
    if view.doubt >= judge.DOUBT or not has_room(view):
        return False
    return view.part >= view.complete_from
