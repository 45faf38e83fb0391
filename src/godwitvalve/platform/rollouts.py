"""Rows by which operators ask for roll-outs and read how they went."""

from __future__ import annotations

import msgspec

from godwitvalve.rollouts import orders

# Orders stand in the operator's table beside the configuration.
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
    """A row that is no order or no status."""


class _Order(msgspec.Struct):
    service: str
    # Version of the service's software.
    to: str
    duration_s: float


class _Status(msgspec.Struct):
    state: str
    to: str
    # Not the platform's: the order that is meant, and its start.
    order: int = 0
    began_ms: int = 0


def is_order(key: str) -> bool:
    """Tell whether a row of the operator's table is an order."""
    return key.startswith(KEY_PREFIX)


def status_key(service: str) -> str:
    """Return the key of the status of a service's roll-out."""
    return KEY_PREFIX + service


def decode_order(content: bytes, row_version: int) -> orders.RolloutOrder:
    """Decode an order.

    :raises InvalidRollout: if fields are missing or hold something else.
    """
    try:
        raw = msgspec.json.decode(content, type=_Order)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidRollout(str(error)) from error
    return orders.RolloutOrder(
        raw.service, raw.to, raw.duration_s, row_version
    )


def encode_status(
    order: orders.RolloutOrder, state: orders.RolloutState, began_ms: int
) -> bytes:
    """Encode a status.

    :param began_ms: the store's clock when the order was first seen.
    """
    return msgspec.json.encode(
        _Status(_STATES[state], order.version, order.row_version, began_ms)
    )


def decode_status(content: bytes, row_version: int) -> orders.RolloutStatus:
    """Decode a status.

    :raises InvalidRollout: if fields are missing or hold something else.
    """
    try:
        raw = msgspec.json.decode(content, type=_Status)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidRollout(str(error)) from error
    state = _STATES_BY_NAME.get(raw.state)
    if state is None:
        raise InvalidRollout(f'state {raw.state!r}')
    return orders.RolloutStatus(raw.order, state, raw.began_ms, row_version)
