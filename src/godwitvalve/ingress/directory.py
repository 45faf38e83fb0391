"""Selects the entry instances that callers should use."""

from __future__ import annotations

from collections import abc
import itertools
import math
import random
import statistics
from typing import NamedTuple

from godwitvalve.gossip import members as member_model
from godwitvalve.platform import directory as wire_directory

# Short, because a caller that uses the address of a dead entry loses a
# second.
ADDRESS_VALIDITY_S = 1.0
# Some callers cache an answer for three times its validity.
MAX_CACHE_FACTOR = 3.0
# How long other entries may still list one that has begun to leave.
LEAVING_PROPAGATION_S = 0.5

# Pressure in percent above which one entry makes all lists uneven.
UNEVEN_PERCENT = 60
# Entries above this are left out while enough others remain.
OVERLOADED_PERCENT = 85
# Part of the serving entries that stays listed, and their least number. It
# also bounds what an entry gets that states too much capacity.
MIN_LISTED_SHARE = 0.25
MIN_LISTED = 2
# Entries are left out only if their pressure is this far above the mean by
# capacity. If all are under pressure, those with the next sample above the
# limit would otherwise be left out in turn, and the rest overloaded: with a
# demand of 0.8 of all capacity, as much work was at entries above 85 % as
# with even lists.
OVERLOADED_MARGIN = 20
# Least headroom, as a part of the capacity, of an entry that is listed. News
# are seconds old, so a small headroom would draw callers away and back again.
MIN_HEADROOM = 0.25


class Candidate(NamedTuple):
    """A serving entry.

    :param capacity: in thousandths of a core; 0 if it is not known.
    :param pressure: part of its resources in use, in percent.
    """

    address: str
    capacity: int
    pressure: int


def is_uneven(candidates: abc.Iterable[Candidate]) -> bool:
    """Tell whether an entry is under so much pressure that capacity counts.

    Entries that state no capacity report no pressure.
    """
    return any(each.pressure > UNEVEN_PERCENT for each in candidates)


def choose_addresses(
    own: Candidate | None,
    others: abc.Iterable[member_model.Record],
    rng: random.Random,
    is_sized: bool = False,
) -> list[str]:
    """Return the caller addresses of the serving entries, shuffled.

    Load pattern: entries are killed, partitioned or stopped one after the
    other; callers pick one address at random for each new connection. Where
    an entry is under pressure, a part of the addresses is drawn by headroom.

    :param own: this entry, or None if it does not serve.
    :param is_sized: whether the capacity of this machine is known.
    """
    candidates = [
        Candidate(
            record.caller_address, record.capacity, max(record.pressure, 0)
        )
        for record in others
        if record.state == member_model.SERVING
    ]
    if own is not None:
        candidates.append(own)
    rng.shuffle(candidates)
    if is_sized and is_uneven(candidates):
        candidates = _draw(candidates, rng)
    return [each.address for each in candidates]


def _draw(candidates: list[Candidate], rng: random.Random) -> list[Candidate]:
    """Draw entries with probabilities proportional to their headroom.

    Callers choose evenly among the addresses of a list. So the list is short
    enough that the entry with the most headroom is on nearly all of them.

    :param candidates: in random order.
    """
    least_count = max(
        MIN_LISTED, math.ceil(len(candidates) * MIN_LISTED_SHARE)
    )
    capacities = _capacities(candidates)
    mean = statistics.fmean(
        [each.pressure for each in candidates], weights=capacities
    )
    limit = max(OVERLOADED_PERCENT, mean + OVERLOADED_MARGIN)
    ordered = sorted(candidates, key=lambda each: each.pressure)
    listable = [
        each
        for number, each in enumerate(ordered)
        if number < least_count or each.pressure <= limit
    ]
    rng.shuffle(listable)
    headrooms = _headrooms(listable)
    even_count = int(sum(headrooms) / max(headrooms))
    count = min(
        max(even_count, least_count),
        wire_directory.MAX_ADDRESSES,
        len(listable),
    )
    chosen = _sample(_shares(headrooms, count), rng)
    found = [each for each, is_in in zip(listable, chosen) if is_in]
    rng.shuffle(found)
    return found


def _capacities(candidates: abc.Sequence[Candidate]) -> list[float]:
    """Return the capacities; unknown ones count as the median."""
    known = [each.capacity for each in candidates if each.capacity > 0]
    usual = statistics.median(known) if known else 1.0
    return [float(each.capacity or usual) for each in candidates]


def _headrooms(candidates: abc.Sequence[Candidate]) -> list[float]:
    """Return the unused capacity of each."""
    return [
        capacity * max(1.0 - each.pressure / 100, MIN_HEADROOM)
        for each, capacity in zip(candidates, _capacities(candidates))
    ]


def _shares(weights: abc.Sequence[float], count: int) -> list[float]:
    """Return probabilities that add up to a count, at most 1.0 each.

    The sums begin with the least weight, as a sum from which one large
    weight is subtracted has lost the small ones.
    """
    shares = [0.0] * len(weights)
    ordered = sorted(range(len(weights)), key=lambda each: weights[each])
    sums = list(itertools.accumulate(weights[each] for each in ordered))
    left = float(count)
    for each, total in zip(reversed(ordered), reversed(sums)):
        shares[each] = min(1.0, left * weights[each] / total)
        left -= shares[each]
    return shares


def _sample(shares: abc.Sequence[float], rng: random.Random) -> list[bool]:
    """Choose each with its probability; their number is constant.

    Systematic sampling: one random offset, and an item for each whole number
    that the running sum passes.
    """
    sums = [
        math.floor(each)
        for each in itertools.accumulate(shares, initial=rng.random())
    ]
    return [after > before for before, after in itertools.pairwise(sums)]
