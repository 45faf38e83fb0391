"""Rows with operators' roll-out orders and with the state of roll-outs."""

from __future__ import annotations

import msgspec

from godwitvalve.decoding import bounds
from godwitvalve.decoding import content as contents
from godwitvalve.rollouts import orders

# Orders are stored in the operator's table, next to the configuration.
KEY_PREFIX = 'rollout/'
STATUS_TABLE = 'status'

_STATES = {
    orders.RolloutState.RUNNING: 'running',
    orders.RolloutState.DOUBTED: 'running',
    orders.RolloutState.TAKEN_BACK: 'rolled_back',
    orders.RolloutState.COMPLETED: 'completed',
}
_STATES_BY_NAME = {
    'running': orders.RolloutState.RUNNING,
    'rolled_back': orders.RolloutState.TAKEN_BACK,
    'completed': orders.RolloutState.COMPLETED,
}


class InvalidRollout(Exception):
    """The row is not a valid order or status."""


class _Order(msgspec.Struct):
    service: bounds.StatedName
    # Software version to which the service moves.
    to: bounds.StatedName
    duration_s: bounds.Positive


class _Status(msgspec.Struct):
    state: bounds.Name
    to: bounds.Name
    # Fields that the platform does not define: row version of the order and
    # start of the roll-out.
    order: bounds.Count = 0
    began_ms: bounds.ClockMilliseconds = 0


_ORDER_DECODER = msgspec.json.Decoder(_Order)
_STATUS_DECODER = msgspec.json.Decoder(_Status)


def is_order(key: str) -> bool:
    """Tell whether a row of the operator's table is an order."""
    return key.startswith(KEY_PREFIX)


def status_key(service: str) -> str:
    """Return the key of the status of a service's roll-out."""
    return KEY_PREFIX + service


def decode_order(
    content: bytes, row_version: int, era: int = 0
) -> orders.RolloutOrder:
    """Decode an order.

    :param era: era of the store in which the row was written at least.
    :raises InvalidRollout: if fields are missing or have invalid values.
    """
    try:
        raw = contents.decode(_ORDER_DECODER, content)
    except contents.InvalidContent as error:
        raise InvalidRollout(str(error)) from error
    return orders.RolloutOrder(
        raw.service, raw.to, raw.duration_s, row_version, era
    )


def encode_status(
    order: orders.RolloutOrder, state: orders.RolloutState, began_ms: int
) -> bytes:
    """Encode a status.

    :param began_ms: store clock in milliseconds when an entry first saw
        the order.
    """
    return msgspec.json.encode(
        _Status(_STATES[state], order.version, order.row_version, began_ms)
    )


def decode_status(content: bytes, row_version: int) -> orders.RolloutStatus:
    """Decode a status.

    :raises InvalidRollout: if fields are missing or have invalid values.
    """
    try:
        raw = contents.decode(_STATUS_DECODER, content)
    except contents.InvalidContent as error:
        raise InvalidRollout(str(error)) from error
    state = _STATES_BY_NAME.get(raw.state)
    if state is None:
        raise InvalidRollout(f'unknown state {raw.state!r}')
    return orders.RolloutStatus(
        raw.order, state, raw.began_ms, row_version, raw.to
    )
