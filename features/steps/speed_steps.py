"""Steps for speed estimates."""

from __future__ import annotations

import behave
from godwitvalve.placement import speed

MAX_OUTPUT = 1000
EVENTS_PER_TOKEN = 0.14


@behave.given(
    'an estimate of {token_ms:g} ms a prompt token and '
    '{event_ms:g} ms an event'
)
def known_estimate(context, token_ms, event_ms):
    context.speeds = speed.SpeedEstimates()
    context.estimate = speed.SpeedEstimate(
        token_ms, event_ms, EVENTS_PER_TOKEN
    )
    context.speeds.observe('s', context.estimate)


@behave.given('an estimate of another entry only')
def estimate_of_another(context):
    context.speeds = speed.SpeedEstimates()
    received = speed.SpeedEstimate(0.13, 30.0, EVENTS_PER_TOKEN)
    context.speeds.add_received('s', received)


@behave.given('no estimate')
def no_estimate(context):
    context.speeds = speed.SpeedEstimates()


@behave.when('{count:d} streams take {times:d} times as long')
def slow_streams(context, count, times):
    slow = context.estimate._replace(
        prompt_token_ms=context.estimate.prompt_token_ms * times,
        event_ms=context.estimate.event_ms * times,
    )
    for _ in range(count):
        context.speeds.observe('s', slow)


def _can_finish(context, tokens, last_event, left_ms):
    return context.speeds.can_finish(
        's', tokens, MAX_OUTPUT, last_event, left_ms
    )


@behave.then(
    'a prompt of {tokens:d} tokens with {left_ms:d} ms left can complete'
)
def can_complete(context, tokens, left_ms):
    assert _can_finish(context, tokens, 0, left_ms)


@behave.then(
    'a prompt of {tokens:d} tokens with {left_ms:d} ms left cannot complete'
)
def cannot_complete(context, tokens, left_ms):
    assert not _can_finish(context, tokens, 0, left_ms)


@behave.then(
    'a processed prompt that lacks {events:d} events with '
    '{left_ms:d} ms left can complete'
)
def rest_can_complete(context, events, left_ms):
    last_event = int(MAX_OUTPUT * EVENTS_PER_TOKEN) - events
    assert _can_finish(context, 0, last_event, left_ms)


def _expected_s(context, tokens, last_event):
    return context.speeds.expected_s('s', tokens, MAX_OUTPUT, last_event)


@behave.then('a stream of {tokens:d} tokens is expected to take {time_s:g} s')
def expected_to_take(context, tokens, time_s):
    assert round(_expected_s(context, tokens, 0), 1) == time_s


@behave.then(
    'a stream of {tokens:d} tokens after event {event:d} is expected to take '
    '{time_s:g} s'
)
def resumed_expected_to_take(context, tokens, event, time_s):
    assert round(_expected_s(context, tokens, event), 1) == time_s


@behave.then(
    'a stream of {tokens:d} tokens is expected to take an unknown time'
)
def expected_unknown(context, tokens):
    assert _expected_s(context, tokens, 0) is None
