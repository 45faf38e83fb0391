"""Plans the share of the new version and the end of a roll-out."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.rollouts import comparison
from godwitvalve.rollouts import orders

# Time in which requests in flight at the old version end: streams last about
# 6 s.
STREAM_DRAIN_S = 6.0
CALL_DRAIN_S = 0.5
# Completion is written to the store before the ordered duration ends, by this
# fraction of it and at least this time: the store answers in milliseconds but
# may be slow.
COMPLETION_MARGIN = 0.07
MIN_COMPLETION_MARGIN_S = 0.5
# Earliest and latest fraction of the ordered duration from which the new
# version receives all requests.
FULL_SHARE_EARLIEST = 0.5
FULL_SHARE_LATEST = 0.9
# Fraction of the ordered duration from which weaker evidence is enough for a
# rollback.
LATE_ROLLBACK_FROM = 0.85
# Largest share while the versions are compared: beyond it the old version
# has too few requests to compare with.
COMPARISON_SHARE = 0.4
# Fraction of the allowed exposure that an unproven version may use; the rest
# covers requests that other entries send in the same second.
SAFE_EXPOSURE = 0.7
# The same fraction where the last requests are reserved.
SAFE_RESERVED_EXPOSURE = 0.75
# Largest fraction of the ordered duration whose requests are reserved. For a
# model it is about half, which would leave too few requests to compare.
MAX_RESERVED_FRACTION = 0.2
# Slots that the new version needs, relative to those of the old one.
MIN_SLOT_RATIO = 0.6


class RolloutView(NamedTuple):
    """Figures from which the share is planned.

    :param elapsed_s: seconds since the order.
    :param duration_s: ordered duration in seconds.
    :param drain_s: seconds in which requests at the old version end.
    :param sent: requests sent to either version by all entries.
    :param sent_new: requests sent to the new version by all entries.
    :param evidence: strongest evidence against the new version.
    :param new_slots: slots of the endpoints of the new version.
    :param old_slots: slots of the endpoints of the old version.
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
        """Return the elapsed fraction of the ordered duration."""
        return self.elapsed_s / max(self.duration_s, 1e-3)

    @property
    def complete_from(self) -> float:
        """Return the fraction from which the roll-out may complete."""
        margin_s = max(
            COMPLETION_MARGIN * self.duration_s, MIN_COMPLETION_MARGIN_S
        )
        return 1.0 - margin_s / max(self.duration_s, 1e-3)

    @property
    def full_share_from(self) -> float:
        """Return the fraction from which a good version gets all requests."""
        drain_fraction = self.drain_s / max(self.duration_s, 1e-3)
        full_share_from = self.complete_from - drain_fraction
        return min(
            max(full_share_from, FULL_SHARE_EARLIEST), FULL_SHARE_LATEST
        )


def remaining_exposure(
    view: RolloutView, limits: orders.ExposureLimits
) -> float:
    """Return how many more requests an unproven version may get.

    Load pattern: a version that fails only under load, or late, shows
    nothing while it is compared. The last requests of the ordered duration,
    which all go to the new version, are reserved if they are few. The limit
    then also holds for a version that is not found to be bad.
    """
    reserved_fraction = 1.0 - view.full_share_from
    if reserved_fraction <= MAX_RESERVED_FRACTION:
        expected = view.sent / max(view.elapsed_fraction, 0.05)
        unreserved = limits.slack - expected * (
            reserved_fraction - limits.share
        )
        return SAFE_RESERVED_EXPOSURE * unreserved - view.sent_new
    allowed = limits.share * view.sent + limits.slack
    return SAFE_EXPOSURE * allowed - view.sent_new


def has_capacity(view: RolloutView) -> bool:
    """Tell whether the new version has enough slots for the service."""
    return view.new_slots >= MIN_SLOT_RATIO * view.old_slots


def plan_share(view: RolloutView, limits: orders.ExposureLimits) -> float:
    """Return the share of requests that the new version gets.

    Load pattern: a bad version may get a tenth of the requests and a
    fixed number beyond that. A service with little traffic has too few
    requests in that tenth for a decision, so the fixed number is used
    first; a busy service has enough.
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
    """Return a share that spreads the exposure over the comparison."""
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


class Assessment(NamedTuple):
    """Figures that decide how a roll-out ends.

    :param failure_reason: reason for an immediate rollback, or None.
    """

    view: RolloutView
    failure_reason: str | None


def rollback_reason(assessment: Assessment) -> str | None:
    """Return why the new version must be rolled back, or None."""
    view = assessment.view
    if assessment.failure_reason:
        return assessment.failure_reason
    if (
        view.elapsed_fraction >= LATE_ROLLBACK_FROM
        and view.evidence >= comparison.LATE_ROLLBACK_EVIDENCE
    ):
        return (
            'evidence against the new version remains '
            f'({view.evidence:.0f} to 1)'
        )
    if view.elapsed_fraction >= 1.0 and not has_capacity(view):
        return 'the new version has too few endpoints'
    return None


def is_complete(assessment: Assessment) -> bool:
    """Tell whether the old version may be stopped."""
    view = assessment.view
    if view.evidence >= comparison.LATE_ROLLBACK_EVIDENCE or not has_capacity(
        view
    ):
        return False
    return view.elapsed_fraction >= view.complete_from
