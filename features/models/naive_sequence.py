"""Reference for the token sequence, and faulty variants of it.

The reference is slow and simple: it stores every token in a dictionary and
checks one token at a time. Each faulty variant of the real sequence lacks
one check.
"""

from __future__ import annotations

from godwitvalve.engine import port
from godwitvalve.generations import digest
from godwitvalve.generations import sequence
from godwitvalve.generations import verdicts
from godwitvalve.outcomes import codes

DIVERGED = verdicts.Inconsistent(codes.ResultCode.CONTINUATION_DIVERGED)


class NaiveSequence:
    """Reference for ``GenerationSequence``."""

    def __init__(
        self, request_id, max_tokens, epoch, position, prefix_digest, token_ids
    ):
        self.request_id = request_id
        self.max_tokens = max_tokens
        self.epoch = epoch
        self.position = position
        self.base = position
        self.base_digest = prefix_digest
        self.answer = dict(enumerate(token_ids))
        self.pieces = {}
        self.attempts = 0
        self.open = False

    def begin_attempt(self, identity, from_start):
        self.attempts += 1
        self.number = self.epoch * 1000 + self.attempts
        self.identity = identity
        self.start = 0 if from_start else self.position
        self.received = []
        self.started = False
        self.open = True
        return self.number

    def accept(self, event):
        if isinstance(event, port.Heartbeat) or not self.open:
            return verdicts.Ignored()
        if (event.request_id, event.attempt) != (self.request_id, self.number):
            return verdicts.Ignored()
        verdict = self.evaluate(event)
        if not isinstance(verdict, (verdicts.Deliver, verdicts.Ignored)):
            self.open = False
        return verdict

    def evaluate(self, event):
        if isinstance(event, port.StreamStarted):
            if self.started:
                return verdicts.Lost('protocol')
            found = (event.version, event.adapter, event.seed)
            if found != tuple(self.identity):
                return verdicts.Lost('identity')
            if event.first_index != self.start:
                return verdicts.Lost('first_index')
            self.started = True
            return verdicts.Ignored()
        if not self.started:
            return verdicts.Lost('protocol')
        end = self.start + len(self.received)
        if isinstance(event, port.StreamEnded):
            if event.token_count != self.position or end != self.position:
                return verdicts.Lost('count')
            return verdicts.Finished(
                event.reason, self.position, self.answer_digest()
            )
        if event.first_index > end:
            return verdicts.Lost('gap')
        if event.first_index + len(event.token_ids) > self.max_tokens:
            return verdicts.Lost('too_many_tokens')
        return self.accept_tokens(event)

    def accept_tokens(self, event):
        new = []
        for offset, token in enumerate(event.token_ids):
            index = event.first_index + offset
            if index < self.start and index not in self.answer:
                return verdicts.Lost('overlap_unknown')
            if self.start <= index < self.start + len(self.received):
                if self.received[index - self.start] != token:
                    return DIVERGED
                continue
            if index in self.answer:
                if self.answer[index] != token:
                    return DIVERGED
            elif index >= self.position:
                new.append((index, token, event.pieces[offset]))
            if index >= self.start:
                self.received.append(token)
            if index == self.base - 1 and index not in self.answer:
                if digest.digest_of(self.received) != self.base_digest:
                    return DIVERGED
                self.answer.update(enumerate(self.received))
        if not new:
            return verdicts.Ignored()
        self.position += len(new)
        self.answer.update((index, token) for index, token, _ in new)
        return verdicts.Deliver(
            new[0][0],
            tuple(token for _, token, _ in new),
            tuple(piece for _, _, piece in new),
        )

    def answer_digest(self):
        after = [
            self.answer[index] for index in range(self.base, self.position)
        ]
        return digest.extend(self.base_digest, after)


class WithoutAttemptCheck(sequence.GenerationSequence):
    """Accepts events of older attempts."""

    def _is_current(self, event):
        return not isinstance(event, port.Heartbeat)


class WithoutRequestCheck(sequence.GenerationSequence):
    """Accepts events of other requests."""

    def _is_current(self, event):
        return (
            not isinstance(event, port.Heartbeat)
            and event.attempt == self._attempt
        )


class WithoutOverlapCheck(sequence.GenerationSequence):
    """Drops overlapping tokens without comparing them."""

    def _check_overlap(self, first, token_ids):
        return None


class WithoutGapCheck(sequence.GenerationSequence):
    """Accepts tokens after a gap."""

    def _accept_tokens(self, event):
        if event.first_index > self._next_index:
            self.position = self._next_index = event.first_index
        return super()._accept_tokens(event)


class WithoutCountCheck(sequence.GenerationSequence):
    """Accepts an end event with any token count."""

    def _accept_end(self, event):
        return verdicts.Finished(event.reason, self.position, self.digest)


class WithoutIdentityCheck(sequence.GenerationSequence):
    """Accepts a stream of another version, adapter or seed."""

    def _accept_start(self, event):
        self._is_started = True
        return verdicts.Ignored()


class WithoutDigestCheck(sequence.GenerationSequence):
    """Accepts recomputed tokens without checking their digest."""

    def _check_recomputed(self, first, token_ids):
        self._known_start_digest = digest.digest_of(
            [*(self._recomputed or ()), *token_ids]
        )
        return super()._check_recomputed(first, token_ids)


VARIANTS = {
    'attempt number': WithoutAttemptCheck,
    'request id': WithoutRequestCheck,
    'overlap': WithoutOverlapCheck,
    'gap': WithoutGapCheck,
    'token count': WithoutCountCheck,
    'identity': WithoutIdentityCheck,
    'recomputed digest': WithoutDigestCheck,
}
