"""Tagged results of one attempt at an endpoint."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True)
class Succeeded:
    """The endpoint answered in full."""


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
    """The connection ended before the answer was whole."""


@dataclasses.dataclass(frozen=True)
class Unresponsive:
    """Nothing came on an open connection before the gap deadline."""


@dataclasses.dataclass(frozen=True)
class Failed:
    """The endpoint answered with a failure of its own."""


@dataclasses.dataclass(frozen=True)
class Cancelled:
    """The caller or this entry ended the attempt; says nothing of health."""


AttemptResult: TypeAlias = (
    Succeeded
    | Leaving
    | ConnectFailed
    | ConnectionLost
    | Unresponsive
    | Failed
    | Cancelled
)
