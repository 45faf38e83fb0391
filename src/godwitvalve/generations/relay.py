"""Delivers one whole answer although engines fail."""

from __future__ import annotations

from collections import abc
import contextlib
from typing import TypeAlias

from godwitvalve import clock as clocks
from godwitvalve.engine import port
from godwitvalve.generations import answer as answers
from godwitvalve.generations import attempts
from godwitvalve.generations import background
from godwitvalve.generations import gaps
from godwitvalve.generations import limits as relay_limits
from godwitvalve.generations import plan
from godwitvalve.generations import results
from godwitvalve.generations import sequence
from godwitvalve.generations import watch as watches

RelayStream: TypeAlias = abc.AsyncGenerator[results.RelayResult, None]


class Relay:
    """Relays answers of one entry instance.

    :param sealing_key: key of new resume ids.
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
        self._gaps = gaps.GapBook(limits.gap)
        self.tasks = background.BackgroundTasks()

    async def close(self) -> None:
        """End the background work."""
        await self.tasks.close()

    async def run(
        self, generation: plan.Generation, picker: plan.EndpointPicker
    ) -> RelayStream:
        """Relay one answer.

        The last result is ``Finished`` or ``Failed``. Closing the generator
        early leaves the engine's stream to be resumed through another
        entry; the engine ends a stream that no one reads.
        """
        tokens = _sequence(generation)
        planner = attempts.AttemptPlanner(
            generation,
            picker,
            tokens,
            self._engine,
            self.tasks,
            self._limits,
            self._clock,
        )
        watch = watches.SilenceWatch()
        answer = answers.Answer(
            generation,
            planner,
            tokens,
            self._sealing_key,
            self._clock,
            self._limits,
        )
        try:
            following = planner.first()
            while isinstance(following, attempts.Attempt):
                answer.begin(following, self._gaps)
                try:
                    events = self._open(following)
                    async with contextlib.aclosing(events):
                        while answer.loss is None:
                            event = await watch.next(events, answer.limit_s())
                            result = answer.accept(event)
                            if result is None:
                                continue
                            if type(result) is results.Finished:
                                planner.close('finished', '')
                            yield result
                            if type(result) is results.Finished:
                                return
                    loss = answer.loss
                except port.EngineLost as error:
                    loss = attempts.Loss(error.reason, error.sent)
                except watches.Silent:
                    loss = attempts.Loss('silent', True)
                following = planner.after(loss)
                if answer.heartbeat_due():
                    yield results.Waiting()
            yield following
        finally:
            watch.close()
            planner.close('abandoned', 'caller_left')

    def _open(
        self, attempt: attempts.Attempt
    ) -> abc.AsyncGenerator[port.EngineEvent, None]:
        visit = attempt.visit
        if attempt.resumes_stream:
            return self._engine.resume(
                visit.endpoint, visit.stream_id, attempt.order
            )
        return self._engine.generate(visit.endpoint, attempt.order)


def _sequence(
    generation: plan.Generation,
) -> sequence.GenerationSequence:
    state = generation.resumed
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
