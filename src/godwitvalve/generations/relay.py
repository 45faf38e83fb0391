"""Delivers complete answers despite engine failures."""

from __future__ import annotations

from collections import abc
import contextlib
from typing import TypeAlias

from godwitvalve import clock as clocks
from godwitvalve.engine import port
from godwitvalve.generations import answer as answers
from godwitvalve.generations import attempts
from godwitvalve.generations import background
from godwitvalve.generations import event_timer as event_timers
from godwitvalve.generations import gaps
from godwitvalve.generations import limits as relay_limits
from godwitvalve.generations import plan
from godwitvalve.generations import results
from godwitvalve.generations import sequence

RelayStream: TypeAlias = abc.AsyncGenerator[results.RelayResult, None]


class Relay:
    """Relays answers of one entry instance.

    :param sealing_key: key that seals new resume ids.
    """

    def __init__(
        self,
        engine: port.Engine,
        sealing_key: bytes,
        clock: clocks.Clock,
        limits: relay_limits.RelayLimits = relay_limits.RelayLimits(),
    ) -> None:
        self._engine = engine
        self._sealing_key = sealing_key
        self._clock = clock
        self._limits = limits
        self._gap_trackers = gaps.GapTrackers(limits.gap)
        self.tasks = background.BackgroundTasks()

    async def close(self) -> None:
        """Cancel the background tasks."""
        await self.tasks.close()

    async def run(
        self, generation: plan.Generation, picker: plan.EndpointPicker
    ) -> RelayStream:
        """Relay one answer.

        The last result is ``Finished`` or ``Failed``. If the generator is
        closed early, the engine's stream is not cancelled, so that it can
        be resumed through another entry; the engine ends a stream that has
        no reader.
        """
        tokens = _new_sequence(generation)
        planner = attempts.AttemptPlanner(
            generation,
            picker,
            tokens,
            self._engine,
            self.tasks,
            self._limits,
            self._clock,
        )
        event_timer = event_timers.EventTimer()
        answer = answers.Answer(
            generation,
            planner,
            tokens,
            self._sealing_key,
            self._clock,
            self._limits,
        )
        try:
            step = planner.first_attempt()
            while isinstance(step, attempts.Attempt):
                answer.begin_attempt(step, self._gap_trackers)
                try:
                    events = self._open_stream(step)
                    async with contextlib.aclosing(events):
                        while answer.loss is None:
                            event = await event_timer.next_event(
                                events, answer.event_timeout_s()
                            )
                            result = answer.accept(event)
                            if result is None:
                                continue
                            if type(result) is results.Finished:
                                planner.close_assignment('finished', '')
                            yield result
                            if type(result) is results.Finished:
                                return
                    loss = answer.loss
                except port.EngineError as error:
                    loss = attempts.Loss(error.reason, error.sent)
                except event_timers.EventTimeout:
                    loss = attempts.Loss('silent', True)
                step = planner.attempt_after(loss)
                if answer.heartbeat_due():
                    yield results.HeartbeatDue()
            yield step
        finally:
            event_timer.close()
            planner.close_assignment('abandoned', 'caller_left')

    def _open_stream(
        self, attempt: attempts.Attempt
    ) -> abc.AsyncGenerator[port.EngineEvent, None]:
        assignment = attempt.assignment
        if attempt.resumes_stream:
            return self._engine.resume(
                assignment.endpoint, assignment.stream_id, attempt.order
            )
        return self._engine.generate(assignment.endpoint, attempt.order)


def _new_sequence(
    generation: plan.Generation,
) -> sequence.GenerationSequence:
    state = generation.resume_state
    if state is None:
        return sequence.GenerationSequence(
            generation.request_id, generation.request.max_tokens
        )
    return sequence.GenerationSequence(
        generation.request_id,
        generation.request.max_tokens,
        generation.resume_epoch,
        state.position,
        state.prefix_digest,
        generation.request.resume_token_ids or (),
    )
