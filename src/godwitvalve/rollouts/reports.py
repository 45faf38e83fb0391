"""Reports about roll-outs that entry instances exchange."""

from __future__ import annotations

import msgspec

from godwitvalve.decoding import bounds
from godwitvalve.rollouts import orders
from godwitvalve.rollouts import outcome_counts


class RolloutReport(msgspec.Struct, frozen=True, array_like=True):
    """State and counts of one order at one entry.

    :param elapsed_ms: milliseconds since an entry first saw the order.
    :param state: state known to the sender.
    :param is_stored: whether the store is known to hold a status row of
        the order.
    :param counts: outcomes that the sender itself counted.
    :param era: era of the store in which the order was written at least.
    :param store_era: era of the store that ``is_stored`` refers to.
    """

    service: str
    version: str
    duration_ms: bounds.Integer
    row_version: bounds.Count
    elapsed_ms: bounds.Integer
    state: orders.RolloutState
    is_stored: bool
    counts: outcome_counts.OutcomeCounts
    era: int = 0
    store_era: int = 0
