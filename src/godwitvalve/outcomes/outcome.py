"""Outcomes of requests.

``NotRun`` and ``Unknown`` are separate types. Once a send has begun, call
sites do not choose between them: ``SendAttempt`` does.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from godwitvalve.outcomes import codes


@dataclasses.dataclass(frozen=True)
class Completed:
    """The endpoint answered completely.

    :param status: HTTP status of the endpoint's answer.
    :param headers: headers to pass on to the caller.
    :param body: body of the answer.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request did not run and will not run.

    :param code: a code whose table entry says ``not_run``.
    :param detail: one sentence for human readers.
    :param retry_at_wall_s: Unix seconds from which a retry may succeed.
    :raises ValueError: if the code does not stand for "not run".
    """

    code: codes.ResultCode
    detail: str = ''
    retry_at_wall_s: float | None = None

    def __post_init__(self) -> None:
        if not codes.CODE_TABLE[self.code].not_run:
            raise ValueError(f'{self.code.name} does not mean "not run"')


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request may have run.

    :param code: a code whose table entry does not say ``not_run``.
    :param detail: what is known, in one sentence for human readers.
    :raises ValueError: if the code stands for "not run".
    """

    code: codes.ResultCode
    detail: str = ''

    def __post_init__(self) -> None:
        if codes.CODE_TABLE[self.code].not_run:
            raise ValueError(f'{self.code.name} means "not run"')


Outcome: TypeAlias = Completed | NotRun | Unknown


class _SendState(enum.Enum):
    UNSENT = 'unsent'
    SENT = 'sent'
    ANSWERED = 'answered'


class SendAttempt:
    """Tracks whether bytes of one attempt may have been sent."""

    def __init__(self) -> None:
        self._state = _SendState.UNSENT

    @property
    def is_sent(self) -> bool:
        """Tell whether the request may have reached the endpoint."""
        return self._state is not _SendState.UNSENT

    def mark_sent(self) -> None:
        """Record that the first byte is about to be written."""
        if self._state is _SendState.UNSENT:
            self._state = _SendState.SENT

    def complete(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> Completed:
        """Return the outcome of an attempt with a complete answer."""
        self._state = _SendState.ANSWERED
        return Completed(status, headers, body)

    def fail(
        self,
        unsent_code: codes.ResultCode,
        detail: str,
        retry_at_wall_s: float | None = None,
    ) -> NotRun | Unknown:
        """Return the outcome of an attempt that failed.

        :param unsent_code: result code to use if nothing was sent.
        :param detail: what happened, in one sentence.
        :param retry_at_wall_s: Unix seconds, used if nothing was sent.
        :returns: ``Unknown`` once a byte may have been sent.
        """
        if self.is_sent:
            return Unknown(codes.ResultCode.OUTCOME_UNKNOWN, detail)
        return NotRun(unsent_code, detail, retry_at_wall_s)
