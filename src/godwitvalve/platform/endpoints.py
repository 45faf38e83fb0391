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
    version: bounds.Name = ''
    slots: bounds.Count = 1
    # When this run of the endpoint started, in Unix milliseconds.
    born: bounds.UnixMilliseconds = 0
    # Not used; a row with other values here was not written by an endpoint.
    sequence: bounds.Count = 0
    cold_remaining_ms: bounds.Number = 0.0


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
