"""Evidence against a version for one kind of event."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from godwitvalve.moves import betting
from godwitvalve.moves import blocks

# Odds ratios bet on: some points more failures, and nearly all requests
# failing. Versions 1.5 and 3 times slower have about 6 and over 60. Ratios
# under 6 would also answer to the smaller load of the old replicas.
_ODDS_RATIOS = {blocks.FAILED: (6.0, 80.0), blocks.SLOW: (6.0, 60.0)}
_DOMAIN_ODDS_RATIO = 6.0
# Evidence that is wanted within single failure domains, as a log: about
# five to one. It rules out troubles of several domains at once.
_MIN_DOMAIN_LOG_E_VALUE = 1.6


class ClosedBlock(NamedTuple):
    """A closed block with what came before it."""

    start: betting.StartPoint
    block: blocks.Block


class Finding:
    """Wealth of the bets for one kind, also without each suspect.

    A dead engine, or a dead failure domain, must not be blamed on the
    version. So the evidence has to hold when any one endpoint, and any one
    domain, is left out. These e-values are computed from the history when
    the whole evidence first passes the limit.

    :param kind: kind of event.
    :param horizon: epochs in the planned time of the move.
    :param limit: e-value to reach.
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
        """Return the evidence of all endpoints."""
        return self._total.value

    def min_e_value(self) -> float:
        """Return the evidence that is left without the worst suspect."""
        values = [wealth.value for wealth in self._excluding.values()]
        return min(values, default=self.e_value)

    def add(
        self,
        closed: ClosedBlock,
        history: Iterable[ClosedBlock],
        domains: set[str],
    ) -> None:
        """Take a block of all domains into account.

        :param history: earlier closed blocks.
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
        """Tell whether the version is to blame.

        :param single: the version has one endpoint, so that leaving it out
            would leave nothing.
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
