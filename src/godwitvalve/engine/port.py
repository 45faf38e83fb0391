"""Port to model engines."""

from __future__ import annotations

from collections import abc
import dataclasses
from typing import Literal, NamedTuple, Protocol, TypeAlias

from godwitvalve.routing import endpoint as endpoint_model


class EngineError(Exception):
    """The stream of an attempt ended without its end mark.

    :param reason: short cause, used as a metric label.
    :param sent: whether the order may have reached the engine.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class GenerationOrder(NamedTuple):
    """What an engine is asked to generate.

    The engine continues after ``prefix_token_ids``; ``max_tokens`` counts
    the prefix too. ``deadline_wall_s`` is in Unix seconds.
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

    :param computed_tokens: prompt and prefix tokens that were computed
        and not taken from the prefix cache.
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
    """Consecutive tokens, the first of them at ``first_index``."""

    request_id: str
    attempt: int
    first_index: int
    token_ids: tuple[int, ...]
    pieces: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class StreamEnded:
    """End mark of a stream.

    :param token_count: tokens of the whole answer, prefix included.
    """

    request_id: str
    attempt: int
    reason: str
    token_count: int


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """The engine is alive and has no token yet."""


EngineEvent: TypeAlias = StreamStarted | Tokens | StreamEnded | Heartbeat


class LoadReport(NamedTuple):
    """Load of an engine as it reports it, with a lag."""

    queue_length: int
    running: int
    state: Literal['live', 'leaving']
    version: str
    measured_wall_s: float


class EndpointOrder(NamedTuple):
    """Declaration of the wanted state of an endpoint."""

    model: str
    version: str
    adapter: str
    role: str
    fencing_number: int


@dataclasses.dataclass(frozen=True)
class OrderAccepted:
    """The endpoint took the order; the declared state will follow."""


@dataclasses.dataclass(frozen=True)
class OrderRefused:
    """The endpoint has seen a newer fencing number."""

    newest_fencing_number: int


@dataclasses.dataclass(frozen=True)
class OrderUnknown:
    """The order was sent and may have been taken."""

    reason: str


OrderOutcome: TypeAlias = OrderAccepted | OrderRefused | OrderUnknown


class Engine(Protocol):
    """Operations on a model engine."""

    def generate(
        self, endpoint: endpoint_model.Endpoint, order: GenerationOrder
    ) -> abc.AsyncGenerator[EngineEvent, None]:
        """Start a stream.

        :raises EngineError: if it ends without its end mark.
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

        :raises EngineError: if no report came in time.
        """

    async def order(
        self, endpoint: endpoint_model.Endpoint, order: EndpointOrder
    ) -> OrderOutcome:
        """Declare the wanted state of an endpoint."""
