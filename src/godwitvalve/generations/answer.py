"""Tracks the progress of one answer across its attempts."""

from __future__ import annotations

from godwitvalve import clock as clocks
from godwitvalve.engine import port
from godwitvalve.generations import attempts
from godwitvalve.generations import gaps
from godwitvalve.generations import limits as relay_limits
from godwitvalve.generations import plan
from godwitvalve.generations import results
from godwitvalve.generations import resume
from godwitvalve.generations import sequence
from godwitvalve.generations import verdicts

# Callers get a heartbeat comment for each second without output. The
# interval is shorter because it is checked only when an event or a loss
# arrives.
HEARTBEAT_INTERVAL_S = 0.9
_HEARTBEAT_DUE = results.HeartbeatDue()


class Answer:
    """Turns engine events into results for the caller.

    :ivar loss: why the current attempt was lost, or None.
    """

    def __init__(
        self,
        generation: plan.Generation,
        planner: attempts.AttemptPlanner,
        tokens: sequence.GenerationSequence,
        sealing_key: bytes,
        clock: clocks.Clock,
        limits: relay_limits.RelayLimits,
    ) -> None:
        self.loss: attempts.Loss | None = None
        self._generation = generation
        self._request_digest = generation.request.digest()
        self._planner = planner
        self._tokens = tokens
        self._sealing_key = sealing_key
        self._clock = clock
        self._limits = limits
        self._sealer: resume.Sealer | None = None
        self._sealer_renewal_s = 0.0
        self._has_event = False
        self._last_output_s = self._last_event_s = clock.monotonic_s()
        self._deadline_s = (
            self._last_event_s + generation.deadline_wall_s - clock.wall_s()
        )

    def begin_attempt(
        self, attempt: attempts.Attempt, gap_trackers: gaps.GapTrackers
    ) -> None:
        """Prepare for the events of a new attempt."""
        self.loss = None
        self._attempt = attempt
        self._sealer = None
        self._gap_tracker = gap_trackers.tracker(
            self._generation.service, attempt.assignment.identity.version
        )
        self._has_event = False

    def event_timeout_s(self) -> float:
        """Return the time-out for the next event in seconds."""
        remaining_s = self._deadline_s - self._last_event_s
        if self._has_event:
            return min(remaining_s, self._gap_tracker.timeout_s())
        if self._attempt.resumes_stream:
            return min(remaining_s, self._limits.stream_resume_s)
        if self._attempt.is_first:
            return min(remaining_s, self._limits.first_attempt_s)
        return min(remaining_s, self._limits.first_event_s)

    def heartbeat_due(self) -> bool:
        """Return whether a heartbeat is due, and restart its interval."""
        now_s = self._clock.monotonic_s()
        if now_s - self._last_output_s < HEARTBEAT_INTERVAL_S:
            return False
        self._last_output_s = now_s
        return True

    def accept(self, event: port.EngineEvent) -> results.RelayResult | None:
        """Return the result of an event for the caller, or None."""
        now_s = self._clock.monotonic_s()
        if self._has_event:
            self._gap_tracker.observe(now_s - self._last_event_s)
        self._has_event = True
        self._last_event_s = now_s
        verdict = self._tokens.accept(event)
        if type(verdict) is verdicts.Deliver:
            return self._deliver(verdict, now_s)
        match verdict:
            case verdicts.Ignored():
                if type(event) is port.StreamStarted:
                    self._record_start(event)
            case verdicts.Finished(reason, token_count, digest):
                return results.Finished(token_count, digest, reason)
            case verdicts.Lost(reason):
                self.loss = attempts.Loss(reason, True)
            case verdicts.Inconsistent():
                self.loss = attempts.Loss('inconsistent', True)
        return _HEARTBEAT_DUE if self.heartbeat_due() else None

    def _deliver(
        self, verdict: verdicts.Deliver, now_s: float
    ) -> results.Delivered:
        self._last_output_s = now_s
        first_index, token_ids, pieces = verdict
        self._attempt.assignment.record_tokens(len(token_ids), now_s)
        tokens = self._tokens
        sealer = self._sealer
        if sealer is None or now_s >= self._sealer_renewal_s:
            self._planner.record_progress()
            sealer = self._new_sealer(now_s)
        resume_id = sealer.seal(tokens.position, tokens.digest)
        text = pieces[0] if len(pieces) == 1 else ''.join(pieces)
        return results.Delivered(first_index, token_ids, text, resume_id)

    def _record_start(self, event: port.StreamStarted) -> None:
        self._attempt.assignment.record_start(event)
        self._planner.record_start()
        self._sealer = None

    def _new_sealer(self, now_s: float) -> resume.Sealer:
        # Renewed after half of its validity, so that each id of a long
        # answer is valid for at least the other half.
        validity_s = self._limits.resume_validity_s
        self._sealer_renewal_s = now_s + validity_s / 2
        assignment = self._attempt.assignment
        generation = self._generation
        state = resume.ResumeState(
            generation.request_id,
            generation.client_account,
            self._request_digest,
            generation.service,
            assignment.identity.version,
            assignment.identity.adapter,
            assignment.identity.seed,
            self._tokens.position,
            self._tokens.digest,
            self._tokens.resume_epoch,
            assignment.endpoint.endpoint_id,
            assignment.stream_id,
            self._clock.wall_s() + validity_s,
        )
        self._sealer = resume.Sealer(state, self._sealing_key)
        return self._sealer
