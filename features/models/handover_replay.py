"""Replays offers of a stream to a successor, with events at random times."""

from __future__ import annotations

import dataclasses
import random

from godwitvalve.forwarding import gaps
from godwitvalve.forwarding import handover

HORIZON_S = 1.5
# Both endpoints may answer at once, late or never.
NEVER_S = 100.0


@dataclasses.dataclass(frozen=True)
class Offer:
    """Times in seconds since a stream was offered to a successor.

    :param connected_s: when the request is sent.
    :param answered_s: when the successor answers or fails.
    :param event_s: when the silent endpoint sends a new event.
    """

    connected_s: float
    answered_s: float
    event_s: float
    is_accepted: bool

    def state(self, now_s):
        """Return the state of the successor."""
        if now_s >= self.answered_s:
            return (
                handover.Accepted() if self.is_accepted else handover.Failed()
            )
        if now_s >= self.connected_s:
            return handover.Sent(handover.OVERLAP_S)
        return handover.Connecting()


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Decision on one offer and when it was made."""

    offer: Offer
    step: handover.Step
    decided_s: float

    @property
    def overlap_s(self):
        """Return for how long both endpoints had the request."""
        return max(self.decided_s - self.offer.connected_s, 0.0)


def replay(offer):
    """Return the outcome of an offer."""
    polls = [
        number * gaps.POLL_PERIOD_S
        for number in range(int(HORIZON_S / gaps.POLL_PERIOD_S))
    ]
    for now_s in sorted({*polls, offer.answered_s, offer.event_s}):
        step = handover.decide(
            offer.state(now_s), now_s >= offer.event_s, now_s
        )
        if step is not handover.Step.WAIT:
            return Outcome(offer, step, now_s)
    return Outcome(offer, handover.Step.WAIT, HORIZON_S)


def random_offer(rng):
    """Return an offer whose successor is connected to or fails in 0.3 s."""
    connected_s = rng.choice([0.0, 0.002, rng.uniform(0.0, 0.3)])
    if rng.random() < 0.1:
        # The connection fails.
        return Offer(NEVER_S, 0.3, _some_time(rng), False)
    return Offer(
        connected_s,
        connected_s + _some_time(rng),
        _some_time(rng),
        rng.random() < 0.5,
    )


def _some_time(rng):
    return rng.choice([0.002, rng.uniform(0.0, 1.2), NEVER_S])


def replays(count, seed):
    """Return the outcomes of a number of offers."""
    rng = random.Random(seed)
    return [replay(random_offer(rng)) for _ in range(count)]
