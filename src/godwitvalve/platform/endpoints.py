"""Decodes the rows by which endpoints register themselves."""

from __future__ import annotations

import ipaddress

import msgspec

from godwitvalve.fleet import endpoints

TABLE = 'servers'

_STATES = frozenset({'ready', 'draining'})


class InvalidRow(Exception):
    """A row that names no endpoint to use."""


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    version: str = ''
    slots: int = 1
    # Unix milliseconds of this start, although its name says birth.
    born: int = 0


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
        is_port = 0 < int(port) < 65536
    except ValueError as error:
        raise InvalidRow(f'address {address!r}') from error
    if not is_port:
        raise InvalidRow(f'address {address!r}')


def decode(endpoint_id: str, content: bytes) -> endpoints.FleetEndpoint:
    """Decode the row of an endpoint.

    :raises InvalidRow: if fields are missing or hold something else.
    """
    try:
        raw = msgspec.json.decode(content, type=_Server)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidRow(str(error)) from error
    if raw.state not in _STATES:
        raise InvalidRow(f'state {raw.state!r}')
    _check_address(raw.address)
    return endpoints.FleetEndpoint(
        endpoint_id,
        raw.service,
        raw.address,
        raw.zone,
        raw.version,
        max(raw.slots, 1),
        raw.state == 'draining',
        raw.born,
    )
