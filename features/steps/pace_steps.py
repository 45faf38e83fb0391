"""Steps for streams that cannot end in time."""

from __future__ import annotations

import behave
from godwitvalve.placement import pace

MAX_OUTPUT = 1000
EVENTS = 0.14


@behave.given('a pace of {read_ms:g} ms a token and {event_ms:g} ms an event')
def known_pace(context, read_ms, event_ms):
    context.pace = pace.PaceBook()
    context.seen = pace.Pace(read_ms, event_ms, EVENTS)
    context.pace.observe('s', context.seen)


@behave.given('no known pace')
def no_pace(context):
    context.pace = pace.PaceBook()


@behave.when('{count:d} streams take {times:d} times as long')
def slow_streams(context, count, times):
    slow = context.seen._replace(
        read_ms=context.seen.read_ms * times,
        event_ms=context.seen.event_ms * times,
    )
    for _ in range(count):
        context.pace.observe('s', slow)


def _can_finish(context, tokens, last_event, left_ms):
    return context.pace.can_finish(
        's', tokens, MAX_OUTPUT, last_event, left_ms
    )


@behave.then('a prompt of {tokens:d} tokens with {left_ms:d} ms left can end')
def can_end(context, tokens, left_ms):
    assert _can_finish(context, tokens, 0, left_ms)


@behave.then(
    'a prompt of {tokens:d} tokens with {left_ms:d} ms left cannot end'
)
def cannot_end(context, tokens, left_ms):
    assert not _can_finish(context, tokens, 0, left_ms)


@behave.then(
    'a stream that was read and lacks {events:d} events with '
    '{left_ms:d} ms left can end'
)
def rest_can_end(context, events, left_ms):
    last_event = int(MAX_OUTPUT * EVENTS) - events
    assert _can_finish(context, 0, last_event, left_ms)
