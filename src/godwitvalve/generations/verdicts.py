"""Verdicts on engine events."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from godwitvalve.outcomes import codes


class Deliver(NamedTuple):
    """New tokens for the caller."""

    first_index: int
    token_ids: tuple[int, ...]
    pieces: tuple[str, ...]


class Ignored(NamedTuple):
    """The event has no effect on the answer."""


class Finished(NamedTuple):
    """All tokens were delivered."""

    reason: str
    token_count: int
    digest: bytes


class Lost(NamedTuple):
    """The attempt cannot be continued."""

    reason: str


class Inconsistent(NamedTuple):
    """The attempt contradicts the answer delivered so far."""

    code: codes.ResultCode


Verdict: TypeAlias = Deliver | Ignored | Finished | Lost | Inconsistent
