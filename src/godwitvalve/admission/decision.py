"""Decides whether a new stream is sent, waits or is refused.

Load pattern: more streams arrive than the endpoints can begin in time. One
that is sent all the same is late, makes those beside it late, and its prompt
is read in vain once its caller gives up. Waiting helps while memory or slots
are taken, as they become free. It does not help while prompts are unread: the
stream would have its first event no sooner. Performs no input or output.
"""

from __future__ import annotations

from collections import abc
import dataclasses
import enum
import heapq
import random
from typing import NamedTuple, TypeAlias

from godwitvalve.admission import room as rooms_model

# Part of the objective within which the first event is expected. The rest is
# left for prompts that other entries place before they know of this one.
REACHABLE_SHARE = 0.5
# Part of the objective that several prompts of an endpoint may take together.
# They are read side by side, so that another one delays those before it and
# has its own first event no sooner than if it waited. An endpoint without an
# unread prompt takes one of any length, as it would be no sooner elsewhere.
SENDABLE_SHARE = 0.25
# Endpoints among which a stream is placed. All entries choose by the same
# reports; with the best of all or of eight, those of the same moment meet.
SAMPLE = 2
# Waiting streams look for room about this often.
POLL_S = 0.05
# Time until other entries know of a stream that was sent.
VISIBLE_S = 0.03
# A request that is held for longer than this part of its objective before it
# is refused costs its caller more than the refusal.
HOLD_SHARE = 1 / 8


class Reason(enum.Enum):
    """Why a stream is refused."""

    LATE = 'late'
    FULL = 'full'
    DEADLINE = 'deadline'


class Request(NamedTuple):
    """A stream that was not sent yet.

    :param objective_s: seconds from its arrival to its first event.
    :param bound_s: objective of the strictest kind that is at least as
        urgent, in seconds.
    :param waited_s: seconds since its arrival.
    :param deadline_left_s: seconds until its deadline.
    :param output_s: expected seconds from its first event to its end.
    """

    objective_s: float
    bound_s: float
    waited_s: float
    deadline_left_s: float
    output_s: float


@dataclasses.dataclass(frozen=True)
class Send:
    """The stream is sent now.

    :param endpoint_ids: endpoints with room; empty if any will do.
    """

    endpoint_ids: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Wait:
    """The stream waits for room.

    :param expected_s: seconds.
    """

    expected_s: float


@dataclasses.dataclass(frozen=True)
class Refuse:
    """The stream is refused as not run.

    :param free_in_s: seconds until there is room for the stream.
    """

    reason: Reason
    free_in_s: float


Decision: TypeAlias = Send | Wait | Refuse


def decide(
    request: Request,
    rooms: abc.Collection[rooms_model.EndpointRoom],
    ahead: int,
    waiting: int,
    rate_per_s: float,
    rng: random.Random,
    preferred_id: str | None = None,
) -> Decision:
    """Decide on a new stream.

    :param rooms: the usable endpoints; without any the stream is sent, so
        that the forwarder finds out why.
    :param ahead: streams of this entry that have room before this one.
    :param waiting: streams that wait at all entries.
    :param rate_per_s: streams a second that all entries may send.
    :param preferred_id: endpoint that has read the prompt before.
    """
    if not rooms:
        return Send()
    own_s = min(each.read_s for each in rooms)
    limit_s = _reachable_s(request.bound_s, own_s) - request.waited_s
    reachable = reachable_ids(request.bound_s, rooms)
    soonest_s = min(each.first_event_s for each in rooms)
    if soonest_s + request.output_s > request.deadline_left_s:
        # It would have less time left when it came back.
        return Refuse(Reason.DEADLINE, request.deadline_left_s)
    is_next = not ahead and _may_contend(len(reachable), waiting, rng)
    if reachable and is_next:
        read_s = {each.endpoint_id: each.read_s for each in rooms}
        return Send(_sample(reachable, read_s, rng, preferred_id))
    wait_s = max(ahead + 1, waiting) / rate_per_s
    if soonest_s > limit_s:
        refusal = Refuse(Reason.LATE, soonest_s - limit_s)
    elif wait_s + own_s > limit_s:
        refusal = Refuse(Reason.FULL, wait_s)
    else:
        return Wait(wait_s)
    if request.waited_s <= request.objective_s * HOLD_SHARE:
        return refusal
    # It was held for too long to be refused; a late stream is worth more.
    return Send(
        frozenset(each.endpoint_id for each in rooms if each.has_space)
    )


def _reachable_s(bound_s: float, own_s: float) -> float:
    """Return the seconds within which the first event has to be expected.

    A prompt that takes longer than its part of the objective is sent where
    an endpoint reads none, so it may wait for one as long as it may be held.

    :param own_s: seconds in which the prompt of the stream is read.
    """
    longest_s = max(bound_s * REACHABLE_SHARE, own_s + bound_s * HOLD_SHARE)
    return min(longest_s, bound_s)


def reachable_ids(
    bound_s: float, rooms: abc.Iterable[rooms_model.EndpointRoom]
) -> list[str]:
    """Return the endpoints that a stream may be sent to now.

    :param bound_s: as in the request.
    """
    send_s = bound_s * SENDABLE_SHARE
    return [
        each.endpoint_id
        for each in rooms
        if each.has_space
        and (each.is_reading_none or each.first_event_s <= send_s)
    ]


def _may_contend(places: int, waiting: int, rng: random.Random) -> bool:
    """Tell whether a stream takes one of the places that became free.

    Streams wait at all entries and see the same places. About one of them
    may try for each place until the others know that it is taken.
    """
    contenders = waiting * VISIBLE_S / POLL_S
    return contenders <= places or rng.random() < places / contenders


def _sample(
    ids: list[str],
    read_s: abc.Mapping[str, float],
    rng: random.Random,
    preferred_id: str | None,
) -> frozenset[str]:
    """Draw endpoints in proportion to the speed at which they read.

    :param read_s: seconds to read the prompt by endpoint.
    """
    if len({read_s[each] for each in ids}) == 1:
        chosen = set(rng.sample(ids, min(SAMPLE, len(ids))))
    else:
        # The largest keys are a weighted sample without replacement.
        keys = {each: rng.random() ** max(read_s[each], 0.001) for each in ids}
        chosen = set(heapq.nlargest(SAMPLE, ids, key=keys.__getitem__))
    if preferred_id in ids:
        chosen.add(preferred_id)
    return frozenset(chosen)
