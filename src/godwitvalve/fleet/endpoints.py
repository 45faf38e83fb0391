"""Endpoints of the fleet, as the platform lists them."""

from __future__ import annotations

from typing import NamedTuple

from godwitvalve.decoding import bounds


class FleetEndpoint(NamedTuple):
    """One incarnation of an endpoint.

    :param endpoint_id: id of the incarnation, which endpoints verify.
    :param address: ``IP:port``; may be reused by another endpoint.
    :param slots: requests that it processes at the same time.
    :param is_leaving: whether it is about to stop.
    :param started_wall_ms: Unix milliseconds of the start.
    """

    endpoint_id: bounds.Identifier
    service: bounds.Name
    address: bounds.IpPort
    failure_domain: bounds.Name
    version: bounds.Name
    slots: bounds.Slots
    is_leaving: bool
    started_wall_ms: bounds.UnixMilliseconds
