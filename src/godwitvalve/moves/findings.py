"""Evidence against a version for one kind of event."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from godwitvalve.moves import betting
from godwitvalve.moves import blocks

# Odds ratios of the alternatives: some percentage points more failures, and
# failures of nearly all requests. For slow answers, versions that are slower
# by the factors 1.5 and 3 have ratios of about 6 and over 60. Ratios under 6
# would also respond to the smaller load of the old replicas.
_ODDS_RATIOS = {blocks.FAILED: (6.0, 80.0), blocks.SLOW: (6.0, 60.0)}
_DOMAIN_ODDS_RATIO = 6.0
# Logarithm of the e-value that comparisons within single failure domains must
# reach, about 5 to 1. This rules out faults of several domains at once.
_MIN_DOMAIN_LOG_E_VALUE = 1.6


class ClosedBlock(NamedTuple):
    """A closed block and the start point that applies to it."""

    start: betting.StartPoint
    block: blocks.Block


class Finding:
    """Evidence for one kind of event, in total and without each suspect.

    A failed engine or failure domain must not count against the version. So
    the evidence has to reach the limit without any one endpoint and without
    any one domain. These e-values are computed from the history once the
    total evidence reaches the limit.

    :param kind: kind of event.
    :param horizon: number of epochs within which a start is expected.
    :param limit: e-value from which the evidence is conclusive.
    """

    def __init__(self, kind: blocks.Kind, horizon: int, limit: float) -> None:
        self.kind = kind
        self.limit = limit
        self._horizon = horizon
        self._total = self._new_wealth()
        self._excluding: dict[blocks.Suspect, betting.Wealth] = {}
        self._domain_log_e = 0.0

    def _new_wealth(self) -> betting.Wealth:
        return betting.Wealth(_ODDS_RATIOS[self.kind.event], self._horizon)

    @property
    def e_value(self) -> float:
        """Return the e-value over all endpoints."""
        return self._total.value

    def min_e_value(self) -> float:
        """Return the e-value without the suspect that explains most."""
        values = [wealth.value for wealth in self._excluding.values()]
        return min(values, default=self.e_value)

    def add(
        self,
        closed: ClosedBlock,
        history: Iterable[ClosedBlock],
        domains: set[str],
    ) -> None:
        """Add a block with the requests of all domains.

        :param history: blocks that were closed before.
        :param domains: failure domains of the new version.
        """
        _multiply(self._total, closed, self.kind, blocks.NO_SUSPECT)
        for counts in closed.block.counts_in_domains(self.kind):
            log_e = betting.log_e_value(*counts, _DOMAIN_ODDS_RATIO)
            self._domain_log_e = max(self._domain_log_e + log_e, 0.0)
        for suspect, wealth in self._excluding.items():
            _multiply(wealth, closed, self.kind, suspect)
        if self.e_value >= self.limit:
            self._add_suspects([*history, closed], domains)

    def _add_suspects(
        self, closed_blocks: list[ClosedBlock], domains: set[str]
    ) -> None:
        found = {
            suspect
            for closed in closed_blocks
            for suspect in closed.block.suspects(self.kind)
            if suspect.endpoint_id or len(domains) > 1
        }
        for suspect in found - self._excluding.keys():
            wealth = self._new_wealth()
            for closed in closed_blocks:
                _multiply(wealth, closed, self.kind, suspect)
            self._excluding[suspect] = wealth

    def is_conclusive(self, single: bool) -> bool:
        """Return whether the evidence shows that the version is at fault.

        :param single: the version has one endpoint only; nothing remains
            to be compared without it.
        """
        if (
            self.e_value < self.limit
            or self._domain_log_e < _MIN_DOMAIN_LOG_E_VALUE
        ):
            return False
        return single or self.min_e_value() >= self.limit


def _multiply(
    wealth: betting.Wealth,
    closed: ClosedBlock,
    kind: blocks.Kind,
    excluded: blocks.Suspect,
) -> None:
    counts = closed.block.counts(kind, excluded)
    if counts.events:
        wealth.multiply(closed.start, *counts)
