"""What an answer states about the request limit of its endpoint."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True)
class Unlimited:
    """The answer states no limit."""


@dataclasses.dataclass(frozen=True)
class Limited:
    """The endpoint takes this many requests a second from all entries."""

    requests_per_s: float


@dataclasses.dataclass(frozen=True)
class Unreadable:
    """The answer states a limit that is not a number of requests.

    :param text: the stated value, shortened for logs.
    """

    text: str


LimitStatement: TypeAlias = Unlimited | Limited | Unreadable
