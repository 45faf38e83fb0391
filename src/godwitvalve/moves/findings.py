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
_DOMAIN_RATIO = 6.0
# Evidence that is wanted within single failure domains, as a log: about
# five to one. It rules out troubles of several domains at once.
_DOMAIN_LIMIT = 1.6


class Record(NamedTuple):
    """A closed block with what came before it."""

    start: betting.Start
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
        self._whole = self._new_wealth()
        self._without: dict[blocks.Suspect, betting.Wealth] = {}
        self._in_domains = 0.0

    def _new_wealth(self) -> betting.Wealth:
        return betting.Wealth(_ODDS_RATIOS[self.kind.event], self._horizon)

    @property
    def e_value(self) -> float:
        """Return the evidence of all endpoints."""
        return self._whole.value

    def least_e_value(self) -> float:
        """Return the evidence that is left without the worst suspect."""
        values = [wealth.value for wealth in self._without.values()]
        return min(values, default=self.e_value)

    def add(
        self,
        record: Record,
        history: Iterable[Record],
        domains: set[str],
    ) -> None:
        """Take a block of all domains into account.

        :param history: earlier records.
        :param domains: failure domains of the new version.
        """
        _multiply(self._whole, record, self.kind, blocks.NOBODY)
        for counts in record.block.counts_in_domains(self.kind):
            log_e = betting.log_e_value(*counts, _DOMAIN_RATIO)
            self._in_domains = max(self._in_domains + log_e, 0.0)
        for suspect, wealth in self._without.items():
            _multiply(wealth, record, self.kind, suspect)
        if self.e_value >= self.limit:
            self._add_suspects([*history, record], domains)

    def _add_suspects(self, records: list[Record], domains: set[str]) -> None:
        found = {
            suspect
            for record in records
            for suspect in record.block.suspects(self.kind)
            if suspect.endpoint_id or len(domains) > 1
        }
        for suspect in found - self._without.keys():
            wealth = self._new_wealth()
            for record in records:
                _multiply(wealth, record, self.kind, suspect)
            self._without[suspect] = wealth

    def is_proof(self, single: bool) -> bool:
        """Tell whether the version is to blame.

        :param single: the version has one endpoint, so that leaving it out
            would leave nothing.
        """
        if self.e_value < self.limit or self._in_domains < _DOMAIN_LIMIT:
            return False
        return single or self.least_e_value() >= self.limit


def _multiply(
    wealth: betting.Wealth,
    record: Record,
    kind: blocks.Kind,
    left_out: blocks.Suspect,
) -> None:
    counts = record.block.counts(kind, left_out)
    if counts.events:
        wealth.multiply(record.start, *counts)
