"""Decodes the rows in which endpoints register themselves."""

from __future__ import annotations

import msgspec

from godwitvalve.decoding import bounds
from godwitvalve.decoding import content as contents
from godwitvalve.fleet import endpoints

TABLE = 'servers'

_STATES = frozenset({'ready', 'draining'})


class InvalidRow(Exception):
    """The row does not describe a usable endpoint."""


class _Server(msgspec.Struct):
    service: bounds.Name
    address: bounds.IpPort
    zone: bounds.Name
    state: bounds.Name
    version: bounds.Name
    slots: bounds.Count
    # Not used; a row that lacks them or has other values here was not written
    # by an endpoint.
    sequence: bounds.Count
    cold_remaining_ms: bounds.Number
    # When this run of the endpoint started, in Unix milliseconds; not stated
    # on platforms that do not tell restarts under the same id.
    born: bounds.UnixMilliseconds = 0


_DECODER = msgspec.json.Decoder(_Server)


def decode(endpoint_id: str, content: bytes) -> endpoints.FleetEndpoint:
    """Decode the row of an endpoint.

    :raises InvalidRow: if fields are missing or have invalid values.
    """
    try:
        raw = contents.decode(_DECODER, content)
        if raw.state not in _STATES:
            raise InvalidRow(
                f'expected state "ready" or "draining", got {raw.state!r}'
            )
        return msgspec.convert(
            (
                endpoint_id,
                raw.service,
                raw.address,
                raw.zone,
                raw.version,
                max(raw.slots, 1),
                raw.state == 'draining',
                raw.born,
            ),
            endpoints.FleetEndpoint,
        )
    except contents.InvalidContent as error:
        raise InvalidRow(str(error)) from error
    except msgspec.ValidationError as error:
        raise InvalidRow(contents.describe(error)) from error
