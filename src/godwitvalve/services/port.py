"""Port to plain services."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from godwitvalve.engine import port as engine_port
from godwitvalve.outcomes import outcome as outcome_model
from godwitvalve.routing import endpoint as endpoint_model


class PlainRequest(NamedTuple):
    """Request to a plain service as received from the caller.

    ``target`` is the path with its query, still percent-encoded.
    ``deadline_wall_s`` is in Unix seconds.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    deadline_wall_s: float


class ServiceUnavailable(Exception):
    """The load report of a plain service could not be read."""


class PlainService(Protocol):
    """Operations on a plain service."""

    async def send(
        self,
        endpoint: endpoint_model.Endpoint,
        request: PlainRequest,
        attempt: outcome_model.SendAttempt,
    ) -> outcome_model.Outcome:
        """Send a request once.

        :param attempt: marked as sent before the first byte is written.
        :returns: the answer, whatever its status, or the failure that
            ``attempt`` allows.
        """

    async def load(
        self, endpoint: endpoint_model.Endpoint
    ) -> engine_port.LoadReport:
        """Read the load report.

        :raises ServiceUnavailable: if no valid report was read in time.
        """
