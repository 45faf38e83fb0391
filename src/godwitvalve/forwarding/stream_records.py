"""Records what the attempts of a stream show about endpoints."""

from __future__ import annotations

import asyncio

from godwitvalve.forwarding import attempts
from godwitvalve.forwarding import exchange as exchanges
from godwitvalve.forwarding import stream_state
from godwitvalve.logs import setup as logs
from godwitvalve.placement import prompt_times
from godwitvalve.placement import speed as speed_model
from godwitvalve.platform import headers as wire
from godwitvalve.quarantine import crashes as crash_model

# Shorter streams give no reliable time per event.
MIN_EVENTS_FOR_SPEED = 10
# Streams whose endpoint has read less of the prompt give no reliable time per
# token.
MIN_READ_SHARE = 0.5
# Events of an attempt after which its prompt counts as sound. A prompt that
# crashes endpoints does so as they begin to write.
MIN_SOUND_EVENTS = 8

_LOG = logs.get('forwarding')


class StreamRecords:
    """Records the events and ends of one stream's attempts."""

    def __init__(self, state: stream_state.StreamState) -> None:
        self._state = state
        self._context = state.context
        self._routed = state.routed
        self._loop = state.loop

    def check_crash(
        self, attempt: attempts.StreamAttempt, end: attempts.AttemptEnd
    ) -> asyncio.Future[None] | None:
        """Check an endpoint that may have crashed by the prompt.

        It may crash before it has sent the head of its answer.

        :returns: done once a crash is recorded; None if there was none.
        """
        if (
            not isinstance(end, attempts.Interrupted)
            or not end.is_broken_off
            or not end.may_have_run
            or attempt.event_count >= MIN_SOUND_EVENTS
        ):
            return None
        suspect = crash_model.Suspect(
            frozenset(self._state.segments), attempt.began_s, attempt.has_head
        )
        return self._context.check_crash(attempt.endpoint, suspect)

    def _record_speed(self, attempt: attempts.StreamAttempt) -> None:
        """Record the speed of a complete stream that took one attempt."""
        facts = self._routed.request.facts
        event_count = self._state.splitter.last_event
        # A cached prompt takes no time, which would look like a fast service.
        read_tokens = facts.prompt_tokens - self._state.prompt.cached_tokens
        if self._context.paces.is_stated(self._routed.service) and (
            attempt.event_count != event_count
            or read_tokens < facts.prompt_tokens * MIN_READ_SHARE
        ):
            return
        if (
            attempt.memory_source
            or facts.last_event
            or event_count < MIN_EVENTS_FOR_SPEED
            or not facts.prompt_tokens
            or not facts.max_output_tokens
        ):
            return
        prompt_s = attempt.first_event_s - attempt.began_s
        events_s = self._loop.time() - attempt.first_event_s
        self._context.speeds.observe(
            self._routed.service,
            speed_model.SpeedObservation(
                prompt_times.PromptTime(max(read_tokens, 1), prompt_s * 1000),
                events_s * 1000 / (event_count - 1),
                event_count / facts.max_output_tokens,
                facts.max_output_tokens,
            ),
            self._context.work_factors.long_term_speed(attempt.endpoint),
        )

    def record_stall(self, attempt: attempts.StreamAttempt) -> None:
        """Record a failure if the endpoint held the request up to its end."""
        idle_s = self._loop.time() - attempt.progress_s
        if self._state.gap_monitor.is_stalled(idle_s, attempt.has_events):
            self._context.endpoint_tracker.record_failure(
                attempt.endpoint.endpoint_id, self._loop.time()
            )
            _LOG.info(
                'Endpoint held a request until it ended.',
                extra={
                    'request_id': self._routed.request.facts.request_id,
                    'endpoint_id': attempt.endpoint.endpoint_id,
                    'idle_s': round(idle_s, 3),
                },
            )

    def record_events(
        self, attempt: attempts.StreamAttempt, count: int
    ) -> None:
        """Count new events of an attempt."""
        was_sound = attempt.event_count >= MIN_SOUND_EVENTS
        attempt.event_count += count
        if attempt.event_count >= MIN_SOUND_EVENTS and not was_sound:
            self._record_sound(attempt)

    def _record_sound(self, attempt: attempts.StreamAttempt) -> None:
        self._context.record_sound(
            self._routed.service, self._state.segments, attempt.first_event_s
        )

    def record_sent(self) -> None:
        """Record when the caller is sent events."""
        now_s = self._loop.time()
        times = self._state.times
        if times.last_sent_s:
            gap_s = now_s - times.last_sent_s
            times.longest_gap_s = max(times.longest_gap_s, gap_s)
        else:
            times.first_event_s = now_s - self._state.began_s
        times.last_sent_s = now_s

    def record_first_event(self, attempt: attempts.StreamAttempt) -> None:
        """Record that an attempt passes on its first event."""
        if attempt.observation:
            attempt.observation.record_answer(False)
        attempt.first_event_s = self._loop.time()
        stats = self._context.endpoint_tracker.stats(
            attempt.endpoint.endpoint_id
        )
        stats.starting -= 1
        stats.unread_tokens -= attempt.unread_tokens
        self._state.prompt.record_begin(attempt)
        self._context.endpoint_tracker.record_success(
            attempt.endpoint.endpoint_id, None, self._loop.time()
        )
        self._context.on_placement_changed()

    def _record_interruption(
        self, attempt: attempts.StreamAttempt, end: attempts.Interrupted
    ) -> None:
        """Record a failure, or the loss of an endpoint not connected to.

        A single interrupted stream may be a fault of that stream alone.
        """
        tracker = self._context.endpoint_tracker
        now_s = self._loop.time()
        if end.may_have_run:
            self._context.counters.count_lost(attempts.reason_label(end))
            tracker.record_failure(attempt.endpoint.endpoint_id, now_s)
        else:
            tracker.record_loss(attempt.endpoint.endpoint_id, now_s)
            self._context.on_placement_changed()

    def record_end(
        self, attempt: attempts.StreamAttempt, end: attempts.AttemptEnd
    ) -> None:
        """Record and log how an attempt ended."""
        self._state.last_attempt = None
        match end:
            case attempts.Completed():
                self._record_speed(attempt)
                if attempt.has_events:
                    self._record_sound(attempt)
                    self._state.prompt.record_end(attempt)
                return
            case attempts.Interrupted():
                # Before its first event an attempt has no copy.
                self._state.last_attempt = (
                    attempt if attempt.has_events else None
                )
                self._state.times.silent_count += end.reason == attempts.SILENT
                self._record_interruption(attempt, end)
                if attempt.has_events:
                    self._context.on_endpoint_lost(
                        attempt.endpoint, attempt.steady_s
                    )
            case exchanges.Declined(wire.MISDIRECTED):
                self._context.mark_replaced(attempt.endpoint)
            case exchanges.Declined():
                self._context.endpoint_tracker.record_full(
                    attempt.endpoint.endpoint_id, self._loop.time()
                )
                self._context.account_use.mark_full(
                    self._routed.service, self._loop.time()
                )
            case _:
                pass
        _LOG.info(
            'Stream attempt ended early.',
            extra={
                'request_id': self._routed.request.facts.request_id,
                'endpoint_id': attempt.endpoint.endpoint_id,
                'outcome': type(end).__name__,
                'reason': attempts.reason_label(end),
                'has_head': attempt.has_head,
                'event_count': attempt.event_count,
                'is_broken_off': isinstance(end, attempts.Interrupted)
                and end.is_broken_off,
                'segments': self._state.segments,
                'last_event': self._state.splitter.last_event,
                'memory_source': attempt.memory_source,
                'run_s': round(self._loop.time() - attempt.began_s, 3),
            },
        )
