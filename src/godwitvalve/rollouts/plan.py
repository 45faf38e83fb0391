"""Share of the new version over the time of a roll-out."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.rollouts import comparison
from godwitvalve.rollouts import orders

# Time in which what runs at the old version ends: streams last about 6 s.
STREAM_DRAIN_S = 6.0
CALL_DRAIN_S = 0.5
# Left of the time asked for when the store is told of the end, as a part
# and at least; the store answers in milliseconds but may be slow.
COMPLETE_MARGIN = 0.07
MIN_COMPLETE_MARGIN_S = 0.5
# Earliest and latest part at which the new version gets all requests.
FULL_SHARE_EARLIEST = 0.5
FULL_SHARE_LATEST = 0.86
# From here on doubts below the proof decide against the version.
LATE_ROLLBACK_FROM = 0.85
# Largest share while the versions are compared: beyond it the old version
# has too few requests to compare with.
COMPARISON_SHARE = 0.4
# Part of the allowed exposure that is used before the new version has shown
# itself; the rest is for requests that others send in the same second.
SAFE_EXPOSURE = 0.7
# Slots of the new version that must be there, as a part of the old ones.
MIN_SLOT_RATIO = 0.6


class RolloutView(NamedTuple):
    """What is known when the share is planned.

    :param elapsed_s: time since the order.
    :param duration_s: time asked for.
    :param drain_s: time in which requests at the old version end.
    :param sent: sends to either version by all entries.
    :param sent_new: those of them to the new version.
    :param evidence: strongest evidence against the new version.
    """

    elapsed_s: float
    duration_s: float
    drain_s: float
    sent: int
    sent_new: int
    evidence: float
    new_slots: int
    old_slots: int

    @property
    def elapsed_fraction(self) -> float:
        """Return the passed part of the time asked for."""
        return self.elapsed_s / max(self.duration_s, 1e-3)

    @property
    def complete_from(self) -> float:
        """Return the part from which the roll-out may be complete."""
        margin_s = max(
            COMPLETE_MARGIN * self.duration_s, MIN_COMPLETE_MARGIN_S
        )
        return 1.0 - margin_s / max(self.duration_s, 1e-3)

    @property
    def full_share_from(self) -> float:
        """Return the part from which a sound version gets everything."""
        drain_fraction = self.drain_s / max(self.duration_s, 1e-3)
        full_share_from = self.complete_from - drain_fraction
        return min(
            max(full_share_from, FULL_SHARE_EARLIEST), FULL_SHARE_LATEST
        )


def remaining_exposure(
    view: RolloutView, limits: orders.ExposureLimits
) -> float:
    """Return how many more requests an untested version may get."""
    allowed = limits.share * view.sent + limits.slack
    return SAFE_EXPOSURE * allowed - view.sent_new


def has_capacity(view: RolloutView) -> bool:
    """Tell whether the new version can carry the service."""
    return view.new_slots >= MIN_SLOT_RATIO * view.old_slots


def plan_share(view: RolloutView, limits: orders.ExposureLimits) -> float:
    """Return the share of requests that the new version gets.

    Load pattern: a bad version may get a tenth of the requests and some
    more. A quiet service has too few requests to tell in that tenth, so
    what is allowed beyond it is used first; a busy one has plenty.
    """
    if not view.new_slots:
        return 0.0
    is_late = view.elapsed_fraction >= LATE_ROLLBACK_FROM
    evidence_limit = (
        comparison.LATE_ROLLBACK_EVIDENCE
        if is_late
        else comparison.HOLD_EVIDENCE
    )
    may_grow = view.evidence < evidence_limit and has_capacity(view)
    if view.elapsed_fraction >= view.full_share_from and may_grow:
        return 1.0
    return _comparison_share(view, limits)


def _comparison_share(
    view: RolloutView, limits: orders.ExposureLimits
) -> float:
    """Return a share that uses the allowed exposure over the comparison."""
    remaining = remaining_exposure(view, limits)
    if remaining <= 0:
        return 0.0
    remaining_per_elapsed = max(
        view.full_share_from / max(view.elapsed_fraction, 0.05) - 1.0, 0.2
    )
    return min(
        COMPARISON_SHARE,
        remaining / max(view.sent * remaining_per_elapsed, 1.0),
    )


class Progress(NamedTuple):
    """What decides about the end of a roll-out.

    :param failure_reason: what is proved against the new version.
    """

    view: RolloutView
    failure_reason: str | None


def rollback_reason(progress: Progress) -> str | None:
    """Return why the new version is taken back, or None."""
    view = progress.view
    if progress.failure_reason:
        return progress.failure_reason
    if (
        view.elapsed_fraction >= LATE_ROLLBACK_FROM
        and view.evidence >= comparison.LATE_ROLLBACK_EVIDENCE
    ):
        return f'doubts remain (evidence {view.evidence:.0f} to 1)'
    if view.elapsed_fraction >= 1.0 and not has_capacity(view):
        return 'the new version has too few endpoints'
    return None


def is_complete(progress: Progress) -> bool:
    """Tell whether the old version may be stopped."""
    view = progress.view
    if view.evidence >= comparison.LATE_ROLLBACK_EVIDENCE or not has_capacity(
        view
    ):
        return False
    return view.elapsed_fraction >= view.complete_from
