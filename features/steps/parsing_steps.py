"""Steps for messages that are costly to parse."""

from __future__ import annotations

import behave
from godwitvalve.parsing import overhead
from godwitvalve.parsing import throttle

COST_S = 0.002


def _state(message):
    if message.is_excessive:
        return 'given up'
    return 'throttled' if message.is_throttled else 'free'


@behave.given('a message of {parts:d} parts with {size:d} bytes each')
def message_of_parts(context, parts, size):
    context.message = overhead.ParsingOverhead()
    for _ in range(parts):
        context.message.add(1, size)


@behave.when('{parts:d} parts of {size:d} bytes follow')
def parts_follow(context, parts, size):
    for _ in range(parts):
        context.message.add(1, size)


@behave.given('a stream of {count:d} events in a chunk of {size:d} bytes each')
def stream_of_events(context, count, size):
    context.message = overhead.ParsingOverhead()
    for _ in range(count):
        context.message.add(1, size)
        context.message.pay(1)


@behave.then('the message is {state}')
def message_is(context, state):
    assert _state(context.message) == state, _state(context.message)


@behave.given(
    '{count:d} messages that each take {cost_ms:d} ms of the processor at a '
    'time'
)
def costly_messages(context, count, cost_ms):
    context.cost_s = cost_ms / 1000
    context.due_s = [0.0] * count


@behave.when('they are parsed for {limit_s:d} s')
def parse_for(context, limit_s):
    shared = throttle.ParsingThrottle()
    context.limit_s = limit_s
    context.steps = [0] * len(context.due_s)
    while (now_s := min(context.due_s)) < limit_s:
        number = context.due_s.index(now_s)
        context.steps[number] += 1
        context.due_s[number] = shared.reserve(now_s, context.cost_s)


@behave.then('they took at most {share:d} % of the processor together')
def took_at_most(context, share):
    taken_s = sum(context.steps) * context.cost_s
    # The first step of each is taken before it is throttled.
    taken_s -= len(context.steps) * context.cost_s
    assert taken_s <= share / 100 * context.limit_s, taken_s


@behave.then('each of them went on at least {count:d} times')
def each_went_on(context, count):
    assert min(context.steps) >= count, context.steps


@behave.given('a throttle that was last used {ago_s:d} s ago')
def unused_throttle(context, ago_s):
    context.now_s = 100.0
    context.throttle = throttle.ParsingThrottle()
    for _ in range(100):
        context.throttle.reserve(context.now_s - ago_s, COST_S)


@behave.when('a message takes {cost_ms:d} ms of the processor')
def takes(context, cost_ms):
    context.until_s = context.throttle.reserve(context.now_s, cost_ms / 1000)


@behave.then('it goes on within {limit_ms:d} ms')
def goes_on_within(context, limit_ms):
    assert context.until_s - context.now_s <= limit_ms / 1000


@behave.given(
    '{count:d} messages that each took {cost_ms:d} ms of the processor and '
    'ended'
)
def ended_messages(context, count, cost_ms):
    context.now_s = 100.0
    context.throttle = throttle.ParsingThrottle()
    for _ in range(count):
        context.throttle.reserve(context.now_s, cost_ms / 1000)
