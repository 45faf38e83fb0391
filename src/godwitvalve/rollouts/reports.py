"""What entry instances tell one another about roll-outs."""

from __future__ import annotations

import msgspec

from godwitvalve.rollouts import orders
from godwitvalve.rollouts import outcome_counts


class RolloutReport(msgspec.Struct, frozen=True, array_like=True):
    """One entry's knowledge of one order.

    :param elapsed_ms: milliseconds since the order was first seen.
    :param state: the state that holds at the sender.
    :param is_stored: whether the store is known to hold a status.
    """

    service: str
    version: str
    duration_ms: int
    row_version: int
    elapsed_ms: int
    state: orders.RolloutState
    is_stored: bool
    counts: outcome_counts.OutcomeCounts
