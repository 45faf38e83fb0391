"""Split of one limit by demand."""

from __future__ import annotations

from collections import abc

# Part of its base share that an entry never lends, so that a request at
# a quiet entry is admitted while the rest is out on loan.
KEPT_OF_BASE = 0.1
# Smaller loans are not worth their bytes in a report.
LEAST_LOAN = 0.001


def targets(demands: abc.Mapping[str, float], base: float) -> dict[str, float]:
    """Return the share that each entry should have.

    Each gets its demand while the limit suffices, and an even part of the
    rest. Above the limit the largest demands are cut to one level.

    :param demands: demand of each entry as a fraction of the limit.
    :param base: share of each entry when nothing is lent.
    """
    total = base * len(demands)
    floor = base * KEPT_OF_BASE
    wanted = {entry: max(demand, floor) for entry, demand in demands.items()}
    spare = total - sum(wanted.values())
    if spare >= 0:
        extra = spare / len(wanted)
        return {entry: demand + extra for entry, demand in wanted.items()}
    level = _level(sorted(wanted.values()), total)
    return {entry: min(demand, level) for entry, demand in wanted.items()}


def _level(ascending: list[float], total: float) -> float:
    """Return the level at which demands are cut to sum up to a total."""
    left = total
    for index, demand in enumerate(ascending):
        level = left / (len(ascending) - index)
        if demand >= level:
            return level
        left -= demand
    return ascending[-1]


def loans(
    own: str,
    demands: abc.Mapping[str, float],
    base: float,
    without_base: abc.Set[str] = frozenset(),
) -> dict[str, float]:
    """Return how much of its base share an entry should lend to whom.

    :param without_base: entries that wait for room and use no base share.
    """
    wanted = targets(demands, base)
    surplus = base - wanted[own]
    if surplus <= 0:
        return {}
    deficits = {
        entry: share - (0.0 if entry in without_base else base)
        for entry, share in wanted.items()
        if entry != own
    }
    total = sum(max(deficit, 0.0) for deficit in deficits.values())
    if total < LEAST_LOAN:
        return {}
    part = min(surplus / total, 1.0)
    return {
        entry: deficit * part
        for entry, deficit in deficits.items()
        if deficit * part >= LEAST_LOAN
    }
