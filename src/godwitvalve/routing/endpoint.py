"""Identity of an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class Endpoint(NamedTuple):
    """A back end that runs requests: a model engine or a plain service.

    ``address`` is ``host:port``.
    """

    endpoint_id: str
    address: str
    failure_domain: str
    service: str
    version: str
    checks_fencing: bool
