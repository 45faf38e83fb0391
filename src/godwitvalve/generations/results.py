"""Results that the relay passes to the HTTP handler."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from godwitvalve.outcomes import codes


class Delivered(NamedTuple):
    """Tokens for the caller.

    :param resume_id: resume id for the position after these tokens.
    """

    first_index: int
    token_ids: tuple[int, ...]
    text: str
    resume_id: str


class Finished(NamedTuple):
    """The answer is complete.

    :param digest: rolling digest over all tokens.
    """

    token_count: int
    digest: bytes
    finish_reason: str


class Failed(NamedTuple):
    """The answer ended before it was complete."""

    code: codes.ResultCode
    detail: str


class HeartbeatDue(NamedTuple):
    """The caller got no output for a while and needs a heartbeat."""


RelayResult: TypeAlias = Delivered | Finished | Failed | HeartbeatDue
