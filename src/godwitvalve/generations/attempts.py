"""Choice of the next attempt of one generation."""

from __future__ import annotations

from collections import abc
from typing import NamedTuple, TypeAlias

from godwitvalve import clock as clocks
from godwitvalve.engine import port
from godwitvalve.generations import background
from godwitvalve.generations import failures
from godwitvalve.generations import limits as relay_limits
from godwitvalve.generations import plan
from godwitvalve.generations import results
from godwitvalve.generations import sequence
from godwitvalve.generations import visit as visits
from godwitvalve.outcomes import codes
from godwitvalve.routing import endpoint as endpoint_model

# Reasons after which the engine has no stream left to resume.
_STREAM_LOST = frozenset(
    ('failed', 'identity', 'first_index', 'inconsistent', 'too_many_tokens')
)


class Loss(NamedTuple):
    """Why an attempt ended; see ``EngineLost``."""

    reason: str
    sent: bool


class Attempt(NamedTuple):
    """One attempt that may begin now."""

    visit: visits.Visit
    order: port.GenerationOrder
    resumes_stream: bool
    is_first: bool


NextAttempt: TypeAlias = Attempt | results.Failed


class AttemptPlanner:
    """Decides where a generation goes on after each loss."""

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
        self._visit: visits.Visit | None = None
        self._tried: set[str] = set()
        self._attempts = 0
        self._history = failures.History()
        self._was_started = False
        state = generation.resumed
        # Tokens of another version, adapter or seed are never mixed in.
        self._identity = (
            sequence.Identity(state.version, state.adapter, state.seed)
            if state
            else None
        )

    @property
    def visit(self) -> visits.Visit:
        """Return the work at the present endpoint."""
        assert self._visit is not None
        return self._visit

    def started(self) -> None:
        """Record that an engine took an order of this relay."""
        self._was_started = True

    def progressed(self) -> None:
        """Pin the identity and forget earlier losses.

        Endpoints that were lost before may be back by now.
        """
        self._identity = self.visit.identity
        self._tried.clear()

    def first(self) -> NextAttempt:
        """Return the first attempt."""
        state = self._generation.resumed
        if state is None or not state.stream_id:
            return self._elsewhere()
        endpoint = self._picker.claim(state.endpoint_id)
        if endpoint is None:
            return self._elsewhere()
        assert self._identity is not None
        visit = self._begin_visit(endpoint, self._identity)
        visit.stream_id = state.stream_id
        if endpoint.version != state.version:
            self.close('abandoned', 'version_mismatch')
            return self._elsewhere()
        return self._resume_stream(visit)

    def after(self, loss: Loss) -> NextAttempt:
        """Return the attempt after a loss."""
        visit = self.visit
        visit.lost(loss.sent)
        self._history.add(loss.reason, loss.sent)
        if loss.reason == 'superseded':
            if self._was_started:
                self.close('abandoned', loss.reason)
                return results.Failed(
                    codes.ResultCode.RESUME_ATTEMPTS_EXHAUSTED,
                    'a newer attempt took over',
                )
            self._tokens.raise_epoch()
            visit.allow_resume()
        failure = self._exhausted()
        if self._is_late():
            self.close('abandoned', 'deadline', cancels=True)
        elif (
            failure is None
            and loss.reason not in _STREAM_LOST
            and visit.may_resume_stream()
        ):
            return self._resume_stream(visit)
        else:
            self._give_up(visit, loss.reason)
        return failure or self._elsewhere()

    def _give_up(self, visit: visits.Visit, reason: str) -> None:
        # An engine that only lost the stream can still generate.
        if reason != 'stream_gone' or visit.losses > 1:
            self._tried.add(visit.endpoint.endpoint_id)
        self.close('lost', reason, cancels=True)

    def close(self, outcome: str, reason: str, cancels: bool = False) -> None:
        """Give the endpoint back.

        :param cancels: whether to cancel the stream that is left there.
        """
        visit, self._visit = self._visit, None
        if visit is None:
            return
        now_s = self._clock.monotonic_s()
        self._picker.finished(
            visit.endpoint, visit.result(outcome, reason, now_s)
        )
        if cancels and visit.stream_id:
            self._tasks.start(
                self._engine.cancel(visit.endpoint, visit.stream_id)
            )

    def _begin_visit(
        self, endpoint: endpoint_model.Endpoint, identity: sequence.Identity
    ) -> visits.Visit:
        now_s = self._clock.monotonic_s()
        self._visit = visits.Visit(endpoint, identity, now_s)
        return self._visit

    def _is_late(self) -> bool:
        return self._clock.wall_s() >= self._generation.deadline_wall_s

    def _exhausted(self) -> results.Failed | None:
        if self._is_late():
            return self._history.deadline_passed()
        if self._attempts >= self._limits.max_attempts:
            return self._history.attempts_exhausted()
        return None

    def _order(
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

    def _resume_stream(self, visit: visits.Visit) -> Attempt:
        visit.resume_begins()
        tokens = self._tokens
        # The engine reads only the length of the prefix here.
        prefix = tokens.prefix() if tokens.has_prefix else ()
        order = self._order(visit.identity, prefix, False)
        if not tokens.has_prefix:
            order = order._replace(prefix_token_ids=(0,) * tokens.position)
        return Attempt(visit, order, True, False)

    def _elsewhere(self) -> NextAttempt:
        failure = self._exhausted()
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
            return self._history.none_left(picked, pinned is not None)
        identity = pinned or sequence.Identity(
            picked.version,
            self._picker.adapter(picked.version),
            self._generation.seed,
        )
        visit = self._begin_visit(picked, identity)
        if picked.version != identity.version:
            self.close('abandoned', 'version_mismatch')
            return self._history.none_left(codes.ResultCode.NO_ENDPOINT, True)
        known = self._tokens.has_prefix
        prefix = self._tokens.prefix() if known else ()
        is_first = pinned is None and not self._attempts
        order = self._order(identity, prefix, not known)
        return Attempt(visit, order, False, is_first)
