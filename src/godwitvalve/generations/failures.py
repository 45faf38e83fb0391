"""Chooses the result code of a failed generation."""

from __future__ import annotations

from godwitvalve.generations import results
from godwitvalve.outcomes import codes

_Code = codes.ResultCode


class AttemptHistory:
    """Losses of the attempts of one generation.

    A "not run" code is returned only if no order can have reached an
    engine.
    """

    def __init__(self) -> None:
        self._was_sent = False
        self._diverged = False
        self._reasons: list[str] = []

    def add_loss(self, reason: str, sent: bool) -> None:
        self._was_sent = self._was_sent or sent
        self._diverged = self._diverged or reason == 'inconsistent'
        self._reasons.append(reason)

    def _detail(self, text: str) -> str:
        if not self._reasons:
            return text
        return f'{text}; losses: {", ".join(self._reasons)}'

    def deadline_passed(self) -> results.Failed:
        """Return the failure at the deadline of the request."""
        code = _Code.DEADLINE_BEFORE_SEND
        if self._was_sent:
            code = _Code.GENERATION_DEADLINE
        return results.Failed(code, self._detail('deadline passed'))

    def attempts_exhausted(self) -> results.Failed:
        """Return the failure after the last allowed attempt."""
        code = _Code.CONNECT_FAILED
        if self._diverged:
            code = _Code.CONTINUATION_DIVERGED
        elif self._was_sent:
            code = _Code.RESUME_ATTEMPTS_EXHAUSTED
        return results.Failed(code, self._detail('no attempt left'))

    def no_endpoint_left(
        self, code: codes.ResultCode, has_version: bool
    ) -> results.Failed:
        """Return the failure when the picker returns no endpoint.

        :param code: result code that the picker returned.
        :param has_version: whether the answer is bound to a version.
        """
        detail = self._detail(f'no endpoint to try ({code.name})')
        if self._diverged:
            return results.Failed(_Code.CONTINUATION_DIVERGED, detail)
        if code is _Code.RETRY_BUDGET_EXHAUSTED and self._was_sent:
            return results.Failed(_Code.RESUME_ATTEMPTS_EXHAUSTED, detail)
        if has_version:
            return results.Failed(_Code.VERSION_GONE, detail)
        if self._was_sent:
            return results.Failed(_Code.ENGINE_FAILED, detail)
        if self._reasons and code is _Code.NO_ENDPOINT:
            return results.Failed(_Code.CONNECT_FAILED, detail)
        return results.Failed(code, detail)
