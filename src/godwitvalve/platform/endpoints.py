"""Decodes the rows in which endpoints register themselves."""

from __future__ import annotations

import ipaddress

import msgspec

from godwitvalve.fleet import endpoints

TABLE = 'servers'

_STATES = frozenset({'ready', 'draining'})


class InvalidRow(Exception):
    """The row does not describe a usable endpoint."""


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    version: str = ''
    slots: int = 1
    # When this run of the endpoint started, in Unix milliseconds.
    born: int = 0


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
        is_port = 0 < int(port) < 65536
    except ValueError as error:
        raise InvalidRow(f'expected IPv4:port, got {address!r}') from error
    if not is_port:
        raise InvalidRow(f'expected a port in 1-65535, got {address!r}')


def decode(endpoint_id: str, content: bytes) -> endpoints.FleetEndpoint:
    """Decode the row of an endpoint.

    :raises InvalidRow: if fields are missing or have invalid values.
    """
    try:
        raw = msgspec.json.decode(content, type=_Server)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidRow(str(error)) from error
    if raw.state not in _STATES:
        raise InvalidRow(
            f'expected state "ready" or "draining", got {raw.state!r}'
        )
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
