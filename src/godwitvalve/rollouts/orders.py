"""Roll-out orders, their states and their exposure limits."""

from __future__ import annotations

import enum
from typing import NamedTuple


class RolloutState(enum.IntEnum):
    """State of a roll-out; a greater state replaces a smaller one.

    ``DOUBTED`` applies from the moment an entry decides to roll back until
    the store has accepted that decision. Conditional writes of the status
    row ensure that a roll-out never becomes both ``TAKEN_BACK`` and
    ``COMPLETED``.
    """

    RUNNING = 0
    DOUBTED = 1
    TAKEN_BACK = 2
    COMPLETED = 3

    @property
    def is_final(self) -> bool:
        """Tell whether the store has recorded the end of the roll-out."""
        return self >= RolloutState.TAKEN_BACK


class RolloutOrder(NamedTuple):
    """An operator's order to move a service to another version.

    :param duration_s: seconds within which all traffic is to be moved.
    :param row_version: version of the operator's row; a greater one means
        a newer order of the same era.
    :param era: era of the store in which the row was written at least.
    """

    service: str
    version: str
    duration_s: float
    row_version: int
    era: int = 0

    @property
    def revision(self) -> tuple[int, int]:
        """Return the sort key: newer orders have greater ones."""
        return self.era, self.row_version

    def is_same_move(self, other: RolloutOrder) -> bool:
        """Tell whether another order asks for the same.

        Reports round the duration to milliseconds.
        """
        return (
            self[:2] == other[:2]
            and abs(self.duration_s - other.duration_s) < 0.01
        )


class RolloutStatus(NamedTuple):
    """Status of an order in the store.

    :param version: version that was ordered.
    :param began_ms: store clock in milliseconds when an entry first saw
        the order.
    :param row_version: version of the status row; 0 if there is none.
    """

    order_version: int
    state: RolloutState
    began_ms: int
    row_version: int
    version: str = ''


class ExposureLimits(NamedTuple):
    """Limit on the requests that a bad version may receive.

    :param share: share of the requests for its service.
    :param slack: number of requests allowed on top of that share.
    """

    share: float
    slack: float
