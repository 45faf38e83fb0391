"""Selects the next attempt of one generation."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple, TypeAlias

from godwitvalve import clock as clocks
from godwitvalve.engine import port
from godwitvalve.generations import assignment as assignments
from godwitvalve.generations import background
from godwitvalve.generations import failures
from godwitvalve.generations import limits as relay_limits
from godwitvalve.generations import plan
from godwitvalve.generations import results
from godwitvalve.generations import sequence
from godwitvalve.outcomes import codes
from godwitvalve.routing import endpoint as endpoint_model

# Losses after which the stream on the engine cannot be resumed.
_STREAM_LOST = frozenset(
    ('failed', 'identity', 'first_index', 'inconsistent', 'too_many_tokens')
)


class Loss(NamedTuple):
    """Why an attempt was lost; fields as in ``EngineError``."""

    reason: str
    sent: bool


class Attempt(NamedTuple):
    """An attempt that is ready to start."""

    assignment: assignments.Assignment
    order: port.GenerationOrder
    resumes_stream: bool
    is_first: bool


NextAttempt: TypeAlias = Attempt | results.Failed


class AttemptPlanner:
    """Decides where a generation continues after each loss."""

    def __init__(
        self,
        generation: plan.Generation,
        picker: plan.EndpointPicker,
        tokens: sequence.GenerationSequence,
        engine: port.Engine,
        tasks: background.BackgroundTasks,
        limits: relay_limits.RelayLimits,
        clock: clocks.Clock,
    ) -> None:
        self._generation = generation
        self._picker = picker
        self._tokens = tokens
        self._engine = engine
        self._tasks = tasks
        self._limits = limits
        self._clock = clock
        self._assignment: assignments.Assignment | None = None
        self._tried: set[str] = set()
        self._attempts = 0
        self._history = failures.AttemptHistory()
        self._has_started = False
        state = generation.resume_state
        # One answer never mixes versions, adapters or seeds.
        self._identity = (
            sequence.Identity(state.version, state.adapter, state.seed)
            if state
            else None
        )

    @property
    def assignment(self) -> assignments.Assignment:
        """Return the current assignment."""
        assert self._assignment is not None
        return self._assignment

    def record_start(self) -> None:
        """Record that an engine accepted an order of this relay."""
        self._has_started = True

    def record_progress(self) -> None:
        """Pin the identity and allow all endpoints again.

        Endpoints that failed earlier may have recovered by now.
        """
        self._identity = self.assignment.identity
        self._tried.clear()

    def first_attempt(self) -> NextAttempt:
        """Return the first attempt, a stream resume if possible."""
        state = self._generation.resume_state
        if state is None or not state.stream_id:
            return self._try_another_endpoint()
        endpoint = self._picker.claim(state.endpoint_id)
        if endpoint is None:
            return self._try_another_endpoint()
        assert self._identity is not None
        assignment = self._begin_assignment(endpoint, self._identity)
        assignment.stream_id = state.stream_id
        if endpoint.version != state.version:
            self.close_assignment('abandoned', 'version_mismatch')
            return self._try_another_endpoint()
        return self._resume_stream(assignment)

    def attempt_after(self, loss: Loss) -> NextAttempt:
        """Return the next attempt after a loss, or the failure."""
        assignment = self.assignment
        assignment.record_loss(loss.sent)
        self._history.add_loss(loss.reason, loss.sent)
        if loss.reason == 'superseded':
            if self._has_started:
                self.close_assignment('abandoned', loss.reason)
                return results.Failed(
                    codes.ResultCode.RESUME_ATTEMPTS_EXHAUSTED,
                    'a newer attempt took over',
                )
            self._tokens.advance_epoch()
            assignment.allow_resume()
        failure = self._limit_failure()
        if self._is_deadline_passed():
            self.close_assignment('abandoned', 'deadline', cancels=True)
        elif (
            failure is None
            and loss.reason not in _STREAM_LOST
            and assignment.may_resume_stream()
        ):
            return self._resume_stream(assignment)
        else:
            self._leave_endpoint(assignment, loss.reason)
        return failure or self._try_another_endpoint()

    def _leave_endpoint(
        self, assignment: assignments.Assignment, reason: str
    ) -> None:
        # An engine that only lacks the stream can still generate.
        if reason != 'stream_gone' or assignment.losses > 1:
            self._tried.add(assignment.endpoint.endpoint_id)
        self.close_assignment('lost', reason, cancels=True)

    def close_assignment(
        self, outcome: str, reason: str, cancels: bool = False
    ) -> None:
        """Release the endpoint of the current assignment, if any.

        :param cancels: whether to cancel the stream on the engine.
        """
        assignment, self._assignment = self._assignment, None
        if assignment is None:
            return
        now_s = self._clock.monotonic_s()
        self._picker.release(
            assignment.endpoint, assignment.result(outcome, reason, now_s)
        )
        if cancels and assignment.stream_id:
            self._tasks.start(
                self._engine.cancel(assignment.endpoint, assignment.stream_id)
            )

    def _begin_assignment(
        self, endpoint: endpoint_model.Endpoint, identity: sequence.Identity
    ) -> assignments.Assignment:
        now_s = self._clock.monotonic_s()
        self._assignment = assignments.Assignment(endpoint, identity, now_s)
        return self._assignment

    def _is_deadline_passed(self) -> bool:
        return self._clock.wall_s() >= self._generation.deadline_wall_s

    def _limit_failure(self) -> results.Failed | None:
        if self._is_deadline_passed():
            return self._history.deadline_passed()
        if self._attempts >= self._limits.max_attempts:
            return self._history.attempts_exhausted()
        return None

    def _next_order(
        self,
        identity: sequence.Identity,
        prefix: abc.Iterable[int],
        from_start: bool,
    ) -> port.GenerationOrder:
        generation = self._generation
        self._attempts += 1
        return port.GenerationOrder(
            generation.request_id,
            self._tokens.begin_attempt(identity, from_start),
            generation.request.prompt,
            tuple(prefix),
            generation.service,
            identity.version,
            identity.adapter,
            identity.seed,
            generation.request.max_tokens,
            generation.request.priority,
            generation.deadline_wall_s,
        )

    def _resume_stream(self, assignment: assignments.Assignment) -> Attempt:
        assignment.record_resume()
        tokens = self._tokens
        # To resume a stream, the engine uses only the length of the prefix.
        prefix = tokens.prefix() if tokens.has_prefix else ()
        order = self._next_order(assignment.identity, prefix, False)
        if not tokens.has_prefix:
            order = order._replace(prefix_token_ids=(0,) * tokens.position)
        return Attempt(assignment, order, True, False)

    def _try_another_endpoint(self) -> NextAttempt:
        failure = self._limit_failure()
        if failure is not None:
            return failure
        pinned = self._identity
        version = pinned.version if pinned else ''
        picked = self._picker.pick(
            frozenset(self._tried),
            self._generation.request.prefix_hint(),
            version,
        )
        if isinstance(picked, codes.ResultCode):
            return self._history.no_endpoint_left(picked, pinned is not None)
        identity = pinned or sequence.Identity(
            picked.version,
            self._picker.adapter(picked.version),
            self._generation.seed,
        )
        assignment = self._begin_assignment(picked, identity)
        if picked.version != identity.version:
            self.close_assignment('abandoned', 'version_mismatch')
            return self._history.no_endpoint_left(
                codes.ResultCode.NO_ENDPOINT, True
            )
        known = self._tokens.has_prefix
        prefix = self._tokens.prefix() if known else ()
        is_first = pinned is None and not self._attempts
        order = self._next_order(identity, prefix, not known)
        return Attempt(assignment, order, False, is_first)
