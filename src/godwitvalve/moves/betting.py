"""E-values against "events do not depend on the version".

Within one failure domain and a short time, which requests went to the new
version is decided by a hash. If the version does not matter, the events
(failures, slow answers) among ``n0 + n1`` requests fall on the ``n1``
requests of the new version like a draw without replacement. For ``K``
events the number ``k1`` of them on the new version is then hypergeometric,
whatever the failure rate is and however it changes between blocks. The
likelihood ratio of Fisher's noncentral hypergeometric distribution with
odds ratio ``r`` to it,

    e = r ** k1 / sum(P(j) * r ** j),

has the expectation 1 under that hypothesis, given the margins. The product
over successive blocks is a nonnegative martingale that starts at 1, and by
Ville's inequality it ever reaches ``1/a`` with probability at most ``a``.
"""

from __future__ import annotations

import functools
import math
from typing import NamedTuple

# Avoids overflow; it is far above any limit that the wealth is compared to.
_MAX_WEALTH = 1e200


@functools.lru_cache(maxsize=65536)
def log_normaliser(
    new: int, old: int, events: int, odds_ratio: float
) -> float:
    """Return the log of ``sum(P(j) * r ** j)``, j hypergeometric."""
    total = new + old
    low = max(0, events - old)
    log_term = (
        _log_choose(new, low)
        + _log_choose(old, events - low)
        - _log_choose(total, events)
        + low * math.log(odds_ratio)
    )
    log_sum = log_term
    for j in range(low, min(new, events)):
        ratio = (new - j) * (events - j) * odds_ratio
        ratio /= (j + 1) * (old - events + j + 1)
        log_term += math.log(ratio)
        high = max(log_sum, log_term)
        log_sum = high + math.log1p(math.exp(-abs(log_sum - log_term)))
    return log_sum


@functools.lru_cache(maxsize=65536)
def _log_choose(total: int, chosen: int) -> float:
    return (
        math.lgamma(total + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(total - chosen + 1)
    )


@functools.lru_cache(maxsize=65536)
def log_e_value(
    new: int, old: int, new_events: int, events: int, odds_ratio: float
) -> float:
    """Return the log of a block's e-value.

    :param new: requests of the new version.
    :param old: requests of the old version.
    :param new_events: events on the new version.
    :param events: events on both.
    """
    if not new or not old or not events:
        return 0.0
    return new_events * math.log(odds_ratio) - log_normaliser(
        new, old, events, odds_ratio
    )


class StartPoint(NamedTuple):
    """Number of epochs and of symptoms before a block."""

    epoch: int
    symptoms: int


class Wealth:
    """Mixture of e-processes that start at the beginning or later.

    Later starts find a version that turns bad after a period without
    faults. Of the stake, 0.35 is bet from the beginning. 0.25 is spread
    over later epochs i with the weights ``m / ((i + m) * (i + m + 1))``,
    and 0.4 over the symptoms of a change that were detected so far, the
    j-th one with ``1 / (j * (j + 1))``. Both series of weights sum to 1. A
    symptom depends on the past only, so this is a mixture of e-processes
    that start at stopping times, with weights that sum to 1, and thereby
    an e-process.

    :param odds_ratios: odds ratios of the alternatives, with equal stakes.
    :param horizon: m, the number of epochs within which a start is
        expected.
    """

    def __init__(self, odds_ratios: tuple[float, ...], horizon: int) -> None:
        self._odds_ratios = odds_ratios
        self._horizon = horizon
        self._staked = 0.35
        stake = self._staked / len(odds_ratios)
        self._wealth = [stake for _ in odds_ratios]

    def _stake_due(self, start: StartPoint) -> float:
        epochs = 1 - self._horizon / (start.epoch + self._horizon)
        symptoms = 1 - 1 / (start.symptoms + 1)
        return 0.35 + 0.25 * epochs + 0.4 * symptoms

    def multiply(
        self,
        start: StartPoint,
        new: int,
        old: int,
        new_events: int,
        events: int,
    ) -> None:
        """Multiply the wealth by the e-values of a block.

        :param start: epoch and number of symptoms when the block began;
            neither may decrease from one block to the next.
        """
        added = self._stake_due(start) - self._staked
        if added > 0:
            self._staked += added
            added /= len(self._odds_ratios)
            self._wealth = [wealth + added for wealth in self._wealth]
        for index, ratio in enumerate(self._odds_ratios):
            log_e = log_e_value(new, old, new_events, events, ratio)
            grown = self._wealth[index] * math.exp(log_e)
            self._wealth[index] = min(grown, _MAX_WEALTH)

    @property
    def value(self) -> float:
        """Return the e-value, without the stakes of later starts."""
        return sum(self._wealth)
