"""Endpoints of the fleet as the platform lists them."""

from __future__ import annotations

from typing import NamedTuple


class FleetEndpoint(NamedTuple):
    """One start of an endpoint.

    :param endpoint_id: name of this start; endpoints check it.
    :param address: ``IP:port``; may be used again by another endpoint.
    :param started_wall_ms: Unix milliseconds of the start.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    version: str
    slots: int
    is_leaving: bool
    started_wall_ms: int
