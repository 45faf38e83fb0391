"""The operator's order to move a service to another version."""

from __future__ import annotations

import enum
from typing import NamedTuple


class RolloutState(enum.IntEnum):
    """State of a roll-out; of two states the greater one holds.

    ``DOUBTED`` holds from the moment an entry finds the version bad until
    the store has accepted that. The store's condition on its row excludes
    that a roll-out becomes both ``TAKEN_BACK`` and ``COMPLETED``.
    """

    RUNNING = 0
    DOUBTED = 1
    TAKEN_BACK = 2
    COMPLETED = 3

    @property
    def is_final(self) -> bool:
        """Tell whether the store holds the end of the roll-out."""
        return self >= RolloutState.TAKEN_BACK


class RolloutOrder(NamedTuple):
    """An order as the operator wrote it.

    :param duration_s: time within which all traffic is moved.
    :param row_version: version of the operator's row; a greater one is a
        newer order.
    """

    service: str
    version: str
    duration_s: float
    row_version: int


class RolloutStatus(NamedTuple):
    """What the store holds about an order.

    :param row_version: version of the status row; 0 if there is none.
    :param began_ms: the store's clock when the order was first seen.
    """

    order_version: int
    state: RolloutState
    began_ms: int
    row_version: int


class ExposureLimits(NamedTuple):
    """How many requests a version may get that turns out bad.

    :param share: share of the requests for its service.
    :param slack: requests beyond that share.
    """

    share: float
    slack: float
