"""Evidence against a version for one kind of event."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from godwitvalve.moves import betting
from godwitvalve.moves import blocks

# Odds ratios bet on: some points more failures, and nearly all requests
# failing; 1.5 times slower has about 5, three times slower over 50.
_ODDS_RATIOS = {blocks.FAILED: (6.0, 80.0), blocks.SLOW: (4.0, 40.0)}


class Record(NamedTuple):
    """A closed block with the epoch in which it ended."""

    epoch: int
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
        self._horizon = horizon
        self._limit = limit
        self._whole = self._new_wealth()
        self._without: dict[str, betting.Wealth] = {}

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
        self, record: Record, history: Iterable[Record], spread: bool
    ) -> None:
        """Take a block into account.

        :param history: earlier records.
        :param spread: whether the version has several failure domains.
        """
        _multiply(self._whole, record, self.kind, '', '')
        for suspect, wealth in self._without.items():
            _multiply(wealth, record, self.kind, *_left_out(suspect))
        if self.e_value >= self._limit:
            self._add_suspects([*history, record], spread)

    def _add_suspects(self, records: list[Record], spread: bool) -> None:
        suspects = {
            f'endpoint {endpoint_id}'
            for record in records
            for endpoint_id in record.block.endpoints_with(self.kind)
        }
        if spread:
            suspects |= {
                f'domain {record.block.failure_domain}'
                for record in records
                if record.block.endpoints_with(self.kind)
            }
        for suspect in suspects - self._without.keys():
            wealth = self._new_wealth()
            for record in records:
                _multiply(wealth, record, self.kind, *_left_out(suspect))
            self._without[suspect] = wealth

    def is_proof(self, single: bool) -> bool:
        """Tell whether the version is to blame.

        :param single: the version has one endpoint, so that leaving it out
            would leave nothing.
        """
        if self.e_value < self._limit:
            return False
        return single or self.least_e_value() >= self._limit


def _left_out(suspect: str) -> tuple[str, str]:
    what, _, name = suspect.partition(' ')
    return (name, '') if what == 'endpoint' else ('', name)


def _multiply(
    wealth: betting.Wealth,
    record: Record,
    kind: blocks.Kind,
    endpoint_id: str,
    failure_domain: str,
) -> None:
    if failure_domain and record.block.failure_domain == failure_domain:
        return
    counts = record.block.counts(kind, endpoint_id)
    if counts.events:
        wealth.multiply(record.epoch, *counts)
