"""Split of one limit among entries by their demand."""

from __future__ import annotations

from collections import abc
import hashlib
import math

# Fraction of its base share that an entry never lends, so that an idle
# entry can admit a request while the rest is lent.
MIN_OWN_OF_BASE = 0.1
# Smaller loans are omitted to keep reports short.
MIN_LOAN = 0.001
# With fewer units per entry, rounding down would waste much of the limit.
SMALL_UNITS_PER_ENTRY = 2
_ROUNDING = 1e-6


def targets(
    demands: abc.Mapping[str, float],
    base: float,
    min_own: float = MIN_OWN_OF_BASE,
) -> dict[str, float]:
    """Return the share that each entry should have.

    If the demands fit into the limit, each entry gets its demand and an
    even part of the rest. Otherwise the largest demands are capped at a
    common level.

    :param demands: demand of each entry as a fraction of the limit.
    :param base: share of each entry when nothing is lent.
    :param min_own: fraction of its base share that each entry gets at
        least.
    """
    total = base * len(demands)
    floor = base * min_own
    wanted = {entry: max(demand, floor) for entry, demand in demands.items()}
    surplus = total - sum(wanted.values())
    if surplus >= 0:
        extra = surplus / len(wanted)
        return {entry: demand + extra for entry, demand in wanted.items()}
    level = _level(sorted(wanted.values()), total)
    return {entry: min(demand, level) for entry, demand in wanted.items()}


def _level(ascending: list[float], total: float) -> float:
    """Return the cap under which demands sum up to a total."""
    remaining = total
    for index, demand in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if demand >= level:
            return level
        remaining -= demand
    return ascending[-1]


def whole_units(
    account: str,
    demands: abc.Mapping[str, float],
    base: float,
    units: int,
) -> dict[str, float]:
    """Return shares that are whole units of a small concurrency limit.

    Even shares below one unit would admit nothing at any entry. Units
    left over by rounding down go to entries with demand first, then in
    hash order, so that all entries compute the same result.
    """
    shares = targets(demands, base, min_own=0.0)
    total = base * len(demands)
    counts = {
        entry: math.floor(share * units + _ROUNDING)
        for entry, share in shares.items()
    }
    remaining = math.floor(total * units + _ROUNDING) - sum(counts.values())
    ranked = sorted(
        shares,
        key=lambda entry: (
            demands[entry] <= 0,
            counts[entry] - shares[entry] * units,
            _hash(account, entry),
        ),
    )
    for entry in ranked[:remaining]:
        counts[entry] += 1
    return {entry: count / units for entry, count in counts.items()}


def is_small(units: int, entries: int) -> bool:
    """Tell whether a concurrency limit is split in whole units."""
    return 0 < units < SMALL_UNITS_PER_ENTRY * entries


def _hash(account: str, entry: str) -> bytes:
    text = f'{account}\0{entry}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def loans(
    own: str,
    wanted: abc.Mapping[str, float],
    base: float,
    without_base: abc.Set[str] = frozenset(),
) -> dict[str, float]:
    """Return the fraction of the limit to lend to each other entry.

    :param wanted: share that each entry should have.
    :param without_base: entries that do not use a base share yet.
    """
    surplus = base - wanted[own]
    if surplus <= 0:
        return {}
    deficits = {
        entry: share - (0.0 if entry in without_base else base)
        for entry, share in wanted.items()
        if entry != own
    }
    total = sum(max(deficit, 0.0) for deficit in deficits.values())
    if total < MIN_LOAN:
        return {}
    part = min(surplus / total, 1.0)
    return {
        entry: deficit * part
        for entry, deficit in deficits.items()
        if deficit * part >= MIN_LOAN
    }
