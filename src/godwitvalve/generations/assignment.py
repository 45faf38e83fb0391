"""Assignment of a generation to an endpoint."""

from __future__ import annotations

from godwitvalve.engine import port
from godwitvalve.generations import plan
from godwitvalve.generations import sequence
from godwitvalve.routing import endpoint as endpoint_model


class Assignment:
    """Attempts at one endpoint: the first one and its stream resumes.

    :param now_s: monotonic seconds.
    """

    def __init__(
        self,
        endpoint: endpoint_model.Endpoint,
        identity: sequence.Identity,
        now_s: float,
    ) -> None:
        self.endpoint = endpoint
        self.identity = identity
        self.stream_id = ''
        self.sent = False
        self.losses = 0
        self.delivered_tokens = 0
        self.prefill_tokens = 0
        # Tokens delivered when the stream was last resumed; it is resumed
        # again only after progress.
        self._delivered_at_resume = -1
        self._start_s = now_s
        self._first_token_s: float | None = None

    def record_start(self, event: port.StreamStarted) -> None:
        """Record that the engine accepted the order."""
        self.sent = True
        self.stream_id = event.stream_id
        self.prefill_tokens += event.computed_tokens

    def record_tokens(self, token_count: int, now_s: float) -> None:
        """Record tokens that are delivered to the caller."""
        if self._first_token_s is None:
            self._first_token_s = now_s - self._start_s
        self.delivered_tokens += token_count

    def record_loss(self, sent: bool) -> None:
        self.sent = self.sent or sent
        self.losses += 1

    def may_resume_stream(self) -> bool:
        """Return whether to try a stream resume."""
        return (
            self.stream_id != ''
            and self.delivered_tokens > self._delivered_at_resume
        )

    def record_resume(self) -> None:
        self._delivered_at_resume = self.delivered_tokens

    def allow_resume(self) -> None:
        """Permit another stream resume without progress."""
        self._delivered_at_resume = -1

    def result(
        self, outcome: str, reason: str, now_s: float
    ) -> plan.AssignmentResult:
        """Return the result for the picker."""
        return plan.AssignmentResult(
            outcome,
            reason,
            self.sent,
            self._first_token_s,
            now_s - self._start_s,
            self.delivered_tokens,
            self.prefill_tokens,
        )
