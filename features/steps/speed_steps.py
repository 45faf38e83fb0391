"""Steps for speed estimates."""

from __future__ import annotations

import behave
from features.doubles import speeds as speed_doubles
from godwitvalve.placement import prompt_times
from godwitvalve.placement import speed

MAX_OUTPUT = 1000
EVENTS_PER_TOKEN = 0.14


class _Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


@behave.given(
    'an estimate of {token_ms:g} ms a prompt token and '
    '{event_ms:g} ms an event'
)
def known_estimate(context, token_ms, event_ms):
    _without_estimate(context)
    context.observed = speed_doubles.observation(
        token_ms, event_ms, EVENTS_PER_TOKEN
    )
    context.speeds.observe('s', context.observed)


def _without_estimate(context):
    context.clock = _Clock()
    context.speeds = speed.SpeedEstimates(context.clock)


@behave.given('an estimate of another entry only')
def estimate_of_another(context):
    _receive(context, 0.13)


def _receive(context, token_ms):
    _without_estimate(context)
    context.speeds.add_received(
        's', speed_doubles.estimate(token_ms, 30.0, EVENTS_PER_TOKEN)
    )


@behave.given('an estimate of another entry of {token_ms:g} ms a prompt token')
def estimate_of_slow_one(context, token_ms):
    _receive(context, token_ms)


@behave.given('no estimate')
def no_estimate(context):
    _without_estimate(context)


@behave.when('{count:d} streams take {times:d} times as long')
def slow_streams(context, count, times):
    prompt = context.observed.prompt
    slow = context.observed._replace(
        prompt=prompt._replace(first_event_ms=prompt.first_event_ms * times),
        event_ms=context.observed.event_ms * times,
    )
    for _ in range(count):
        context.speeds.observe('s', slow)


@behave.given(
    'only a stream of {tokens:d} tokens that took {first_ms:g} ms to its '
    'first event'
)
def only_stream(context, tokens, first_ms):
    _without_estimate(context)
    streams_of_size(context, 1, tokens, first_ms)


@behave.when(
    '{count:d} streams of {tokens:d} tokens take {first_ms:g} ms to their '
    'first event'
)
def streams_of_size(context, count, tokens, first_ms):
    streams_of_output(context, count, tokens, MAX_OUTPUT, first_ms)


@behave.when(
    '{count:d} streams of {tokens:d} tokens and an output of {output:d} take '
    '{first_ms:g} ms to their first event'
)
def streams_of_output(context, count, tokens, output, first_ms):
    for _ in range(count):
        observed = speed_doubles.observation(
            first_ms / tokens, 30.0, EVENTS_PER_TOKEN, tokens, output
        )
        context.speeds.observe('s', observed)


@behave.when('{span_s:g} s go by')
def time_passes(context, span_s):
    context.clock.now_s += span_s


@behave.then(
    'of {count:d} prompts of {tokens:d} tokens that seem too late {sent:d} '
    'are sent'
)
@behave.then(
    'of {count:d} prompts of {tokens:d} tokens that seem too late {sent:d} is '
    'sent'
)
def trials_sent(context, count, tokens, sent):
    found = [
        context.speeds.begin_trial('s', tokens, MAX_OUTPUT)
        for _ in range(count)
    ]
    assert found == [each < sent for each in range(count)], found


@behave.then('each token of a prompt of {tokens:d} counts as {token_ms:g} ms')
def token_counts_as(context, tokens, token_ms):
    prompts = context.speeds.all()['s'].prompts
    found = prompt_times.token_ms(prompts, tokens)
    assert round(found, 3) == token_ms, found


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
