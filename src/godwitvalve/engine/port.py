"""Interface to model engines, independent of the protocol."""

from __future__ import annotations

from collections import abc
import dataclasses
from typing import Literal, NamedTuple, Protocol, TypeAlias

from godwitvalve.routing import endpoint as endpoint_model


class EngineError(Exception):
    """A request failed, or its stream ended without its final event.

    :param reason: short cause, used as a metric label.
    :param sent: whether the request may have reached the engine.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class GenerationOrder(NamedTuple):
    """Request to generate tokens.

    The engine continues after ``prefix_token_ids``; ``max_tokens`` includes
    the prefix. ``deadline_wall_s`` is in Unix seconds.
    """

    request_id: str
    attempt: int
    prompt: str
    prefix_token_ids: tuple[int, ...]
    model: str
    version: str
    adapter: str
    seed: int
    max_tokens: int
    priority: int
    deadline_wall_s: float


@dataclasses.dataclass(frozen=True)
class StreamStarted:
    """First event of a stream.

    :param computed_tokens: prompt and prefix tokens that were not found in
        the prefix cache and had to be computed.
    """

    request_id: str
    attempt: int
    stream_id: str
    version: str
    adapter: str
    seed: int
    first_index: int
    computed_tokens: int


@dataclasses.dataclass(frozen=True)
class Tokens:
    """Consecutive tokens that start at ``first_index``."""

    request_id: str
    attempt: int
    first_index: int
    token_ids: tuple[int, ...]
    pieces: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class StreamEnded:
    """Final event of a stream.

    :param token_count: tokens of the complete answer, prefix included.
    """

    request_id: str
    attempt: int
    reason: str
    token_count: int


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """The engine is alive but has no new token."""


EngineEvent: TypeAlias = StreamStarted | Tokens | StreamEnded | Heartbeat


class LoadReport(NamedTuple):
    """Load as reported by an engine; it lags behind the actual load."""

    queue_length: int
    running: int
    state: Literal['live', 'leaving']
    version: str
    measured_wall_s: float


class EndpointOrder(NamedTuple):
    """State that an endpoint is ordered to have."""

    model: str
    version: str
    adapter: str
    role: str
    fencing_number: int


@dataclasses.dataclass(frozen=True)
class OrderAccepted:
    """The endpoint accepted the order; its state changes later."""


@dataclasses.dataclass(frozen=True)
class OrderRefused:
    """The endpoint has already received a higher fencing number."""

    newest_fencing_number: int


@dataclasses.dataclass(frozen=True)
class OrderUnknown:
    """The order may have been accepted; no valid answer arrived."""

    reason: str


OrderOutcome: TypeAlias = OrderAccepted | OrderRefused | OrderUnknown


class Engine(Protocol):
    """Operations on a model engine."""

    def generate(
        self, endpoint: endpoint_model.Endpoint, order: GenerationOrder
    ) -> abc.AsyncGenerator[EngineEvent, None]:
        """Start a stream.

        :raises EngineError: if it ends without its final event.
        """

    def resume(
        self,
        endpoint: endpoint_model.Endpoint,
        stream_id: str,
        order: GenerationOrder,
    ) -> abc.AsyncGenerator[EngineEvent, None]:
        """Continue a stream on a new connection after the order's prefix.

        :raises EngineError: if the engine no longer has the stream.
        """

    async def cancel(
        self, endpoint: endpoint_model.Endpoint, stream_id: str
    ) -> None:
        """Cancel a stream; errors are ignored."""

    async def load(self, endpoint: endpoint_model.Endpoint) -> LoadReport:
        """Read the load report.

        :raises EngineError: if no valid report arrives in time.
        """

    async def order(
        self, endpoint: endpoint_model.Endpoint, order: EndpointOrder
    ) -> OrderOutcome:
        """Send an endpoint the state that it should have."""
