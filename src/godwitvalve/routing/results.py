"""Tagged results of one attempt at an endpoint."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True)
class Succeeded:
    """The endpoint sent a complete answer."""


@dataclasses.dataclass(frozen=True)
class Leaving:
    """The endpoint refused the request because it is shutting down."""


@dataclasses.dataclass(frozen=True)
class ConnectFailed:
    """No connection was opened.

    :param refused: whether the connection was refused, which proves that
        nothing listens; a timeout proves nothing.
    """

    refused: bool


@dataclasses.dataclass(frozen=True)
class ConnectionLost:
    """The connection ended before the answer was complete."""


@dataclasses.dataclass(frozen=True)
class Unresponsive:
    """No data arrived on an open connection before the gap deadline."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """The endpoint answered with a server error."""


@dataclasses.dataclass(frozen=True)
class Cancelled:
    """The caller or this entry ended the attempt; health is unaffected."""


AttemptResult: TypeAlias = (
    Succeeded
    | Leaving
    | ConnectFailed
    | ConnectionLost
    | Unresponsive
    | Failed
    | Cancelled
)
