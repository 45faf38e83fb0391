"""What an engine event means for the caller."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from godwitvalve.outcomes import codes


class Deliver(NamedTuple):
    """New tokens for the caller."""

    first_index: int
    token_ids: tuple[int, ...]
    pieces: tuple[str, ...]


class Ignored(NamedTuple):
    """The event changes nothing for the caller."""


class Finished(NamedTuple):
    """All tokens were delivered."""

    reason: str
    token_count: int
    digest: bytes


class Lost(NamedTuple):
    """The attempt is of no further use."""

    reason: str


class Inconsistent(NamedTuple):
    """The attempt generates another answer than the one begun."""

    code: codes.ResultCode


Verdict: TypeAlias = Deliver | Ignored | Finished | Lost | Inconsistent
