"""Errors of the reference caller."""

from __future__ import annotations

from typing import Any


class CallerError(Exception):
    """A call did not return a complete answer."""


class NoAddress(CallerError):
    """No entry instance could be reached."""


class Refused(CallerError):
    """The system answered with problem details.

    :param problem: the decoded problem details.
    """

    def __init__(self, problem: dict[str, Any]) -> None:
        super().__init__(f'{problem.get("title")}: {problem.get("detail")}')
        self.problem = problem

    @property
    def code(self) -> int:
        """Return the result code, or 0 if there is none."""
        code = self.problem.get('code')
        return code if isinstance(code, int) else 0

    @property
    def not_run(self) -> bool:
        """Tell whether the system states that the request did not run."""
        return self.problem.get('not_run') is True


class OutcomeUnknown(CallerError):
    """The request was sent and may have run.

    :param key: idempotency key, which every retry must use.
    """

    def __init__(self, detail: str, key: str | None) -> None:
        super().__init__(detail)
        self.key = key


class PartialAnswer(CallerError):
    """The answer ended before it was complete.

    :param resume_id: last resume id, with which the rest can be requested.
    :param token_ids: tokens that arrived.
    """

    def __init__(
        self, detail: str, resume_id: str, token_ids: list[int]
    ) -> None:
        super().__init__(detail)
        self.resume_id = resume_id
        self.token_ids = token_ids


class CorruptAnswer(CallerError):
    """Data is malformed, or tokens are missing, repeated or changed."""
