"""Token sequence of one answer across several attempts."""

from __future__ import annotations

import array
from collections import abc
from typing import NamedTuple

from godwitvalve.engine import port
from godwitvalve.generations import digest as rolling
from godwitvalve.generations import verdicts
from godwitvalve.outcomes import codes

ATTEMPTS_PER_EPOCH = 1000


class Identity(NamedTuple):
    """Inputs besides the prompt that determine an answer's tokens."""

    version: str
    adapter: str
    seed: int


_IGNORED = verdicts.Ignored()
_DIVERGED = verdicts.Inconsistent(codes.ResultCode.CONTINUATION_DIVERGED)


class GenerationSequence:
    """Decides which tokens of each event are delivered.

    Tokens are stored in an array of 4 bytes each. After a resume without
    the caller's tokens only their digest is known; the known tokens then
    start at the resume position until an attempt recomputes the earlier
    ones.

    :param position: number of tokens that the caller already has.
    :param prefix_digest: rolling digest at that position.
    :param token_ids: those tokens, already verified, or empty if unknown.
    """

    def __init__(
        self,
        request_id: str,
        max_tokens: int,
        resume_epoch: int = 0,
        position: int = 0,
        prefix_digest: bytes = rolling.EMPTY,
        token_ids: abc.Sequence[int] = (),
    ) -> None:
        self._request_id = request_id
        self._max_tokens = max_tokens
        self.resume_epoch = resume_epoch
        self.position = position
        self.digest = prefix_digest
        self._known = array.array('I', token_ids)
        self._known_start = position - len(token_ids)
        self._known_start_digest = (
            rolling.EMPTY if token_ids else prefix_digest
        )
        self._recomputed: array.array[int] | None = None
        self._attempts = 0
        self._attempt = -1
        self._identity: Identity | None = None
        self._is_started = False
        self._is_open = False
        self._next_index = position

    @property
    def attempts(self) -> int:
        """Return the number of attempts of this epoch."""
        return self._attempts

    @property
    def has_prefix(self) -> bool:
        """Return whether all tokens before the position are known."""
        return self._known_start == 0

    def prefix(self) -> tuple[int, ...]:
        """Return the tokens before the position; all must be known."""
        if self._known_start:
            raise ValueError('the tokens before the position are unknown')
        return tuple(self._known)

    def advance_epoch(self) -> None:
        """Let later attempts supersede those of a concurrent resume."""
        self.resume_epoch += 1
        self._attempts = 0

    def begin_attempt(
        self, identity: Identity, from_start: bool = False
    ) -> int:
        """Start an attempt; events of earlier ones are ignored from now on.

        :param identity: identity that the engine is to generate with.
        :param from_start: whether it generates from the first token again.
        :returns: the attempt's number.
        :raises ValueError: if the answer was started with another identity,
            or if the epoch has no attempt number left.
        """
        if self.position and self._identity not in (None, identity):
            raise ValueError('the answer was started with another identity')
        if self._attempts >= ATTEMPTS_PER_EPOCH - 1:
            raise ValueError('the epoch has no attempt number left')
        self._attempts += 1
        self._attempt = self.resume_epoch * ATTEMPTS_PER_EPOCH + self._attempts
        self._identity = identity
        self._is_started = False
        self._is_open = True
        self._next_index = 0 if from_start else self.position
        self._recomputed = array.array('I') if from_start else None
        return self._attempt

    def accept(self, event: port.EngineEvent) -> verdicts.Verdict:
        """Return the verdict on an event."""
        if not self._is_current(event):
            return _IGNORED
        verdict: verdicts.Verdict
        if type(event) is port.Tokens:
            verdict = self._accept_tokens(event)
        elif type(event) is port.StreamStarted:
            verdict = self._accept_start(event)
        elif type(event) is port.StreamEnded:
            verdict = self._accept_end(event)
        else:
            return _IGNORED
        if (
            type(verdict) is not verdicts.Deliver
            and type(verdict) is not verdicts.Ignored
        ):
            self._is_open = False
        return verdict

    def _is_current(self, event: port.EngineEvent) -> bool:
        return (
            not isinstance(event, port.Heartbeat)
            and self._is_open
            and event.attempt == self._attempt
            and event.request_id == self._request_id
        )

    def _accept_start(self, event: port.StreamStarted) -> verdicts.Verdict:
        if self._is_started:
            return verdicts.Lost('protocol')
        identity = Identity(event.version, event.adapter, event.seed)
        if identity != self._identity:
            return verdicts.Lost('identity')
        if event.first_index != self._next_index:
            return verdicts.Lost('first_index')
        self._is_started = True
        return _IGNORED

    def _accept_end(self, event: port.StreamEnded) -> verdicts.Verdict:
        if not self._is_started:
            return verdicts.Lost('protocol')
        if (
            event.token_count != self.position
            or self._next_index != self.position
        ):
            return verdicts.Lost('count')
        return verdicts.Finished(event.reason, self.position, self.digest)

    def _accept_tokens(self, event: port.Tokens) -> verdicts.Verdict:
        first = event.first_index
        token_ids = event.token_ids
        end = first + len(token_ids)
        if not self._is_started:
            return verdicts.Lost('protocol')
        if first > self._next_index:
            return verdicts.Lost('gap')
        if end > self._max_tokens:
            return verdicts.Lost('too_many_tokens')
        if first == self.position:
            return self._deliver(first, token_ids, event.pieces)
        failure = self._check_overlap(first, token_ids)
        if failure is not None:
            return failure
        self._next_index = max(self._next_index, end)
        skip = self.position - first
        if end <= self.position:
            return _IGNORED
        return self._deliver(
            self.position, token_ids[skip:], event.pieces[skip:]
        )

    def _deliver(
        self, first: int, token_ids: tuple[int, ...], pieces: tuple[str, ...]
    ) -> verdicts.Deliver:
        self._known.extend(token_ids)
        self.digest = rolling.extend(self.digest, token_ids)
        self.position = self._next_index = first + len(token_ids)
        return verdicts.Deliver(first, token_ids, pieces)

    def _check_overlap(
        self, first: int, token_ids: tuple[int, ...]
    ) -> verdicts.Verdict | None:
        unknown = token_ids[: max(0, self._known_start - first)]
        if unknown:
            failure = self._check_recomputed(first, unknown)
            if failure is not None:
                return failure
            first += len(unknown)
            token_ids = token_ids[len(unknown) :]
        start = first - self._known_start
        received = self._known[start : start + len(token_ids)]
        if tuple(received) != token_ids[: len(received)]:
            return _DIVERGED
        return None

    def _check_recomputed(
        self, first: int, token_ids: tuple[int, ...]
    ) -> verdicts.Verdict | None:
        if self._recomputed is None:
            return verdicts.Lost('overlap_unknown')
        recomputed = self._recomputed
        received = recomputed[first : first + len(token_ids)]
        if tuple(received) != token_ids[: len(received)]:
            return _DIVERGED
        recomputed.extend(token_ids[len(received) :])
        if len(recomputed) == self._known_start:
            if rolling.digest_of(recomputed) != self._known_start_digest:
                return _DIVERGED
            self._known = recomputed + self._known
            self._known_start = 0
            self._recomputed = None
        return None
