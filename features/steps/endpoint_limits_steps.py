"""Steps for the request limits that endpoints state."""

from __future__ import annotations

import logging

import behave
from godwitvalve.endpoint_limits import limiter
from godwitvalve.fleet import endpoints
from godwitvalve.platform import headers
import msgspec

STATED = {'(empty)': '', '(1000 digits)': '9' * 1000}
LOGGER = 'godwitvalve.endpoint_limits'


def limited_endpoint(name='e', started_wall_ms=1):
    """Return an endpoint of the service that the steps use."""
    return endpoints.FleetEndpoint(
        name, 'desk', f'{name}:80', 'a', 'v1', 6, False, started_wall_ms
    )


def statement(text):
    """Return what an answer with this limit states."""
    fields = [(b'Request-Id', b'r')]
    if text != '(absent)':
        fields += [
            (b'Server-Limit', value.strip().encode())
            for value in STATED.get(text, text).split('; Server-Limit:')
        ]
    return headers.read_answer(200, fields).limit


class _Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        self.messages.append(record.getMessage())


@behave.given('an endpoint that had stated a limit of {limit:g} requests/s')
def had_limit(context, limit):
    had_no_limit(context)
    context.limiter.observe(context.endpoint, statement(f'{limit:g}'), 0.0)


@behave.given('an endpoint that had stated no limit')
def had_no_limit(context):
    context.limiter = limiter.EndpointLimiter()
    context.endpoint = limited_endpoint()
    context.lines = _Lines()
    logger = logging.getLogger(LOGGER)
    before = logger.level, logger.propagate
    logger.addHandler(context.lines)
    logger.setLevel('INFO')
    logger.propagate = False

    def restore():
        logger.removeHandler(context.lines)
        logger.level, logger.propagate = before

    context.add_cleanup(restore)


@behave.when('an answer states "{text}"')
def answer_states(context, text):
    context.limiter.observe(context.endpoint, statement(text), 1.0)


@behave.when('{count:d} answers state "{text}" within {seconds:d} s')
def answers_state(context, count, text, seconds):
    answers_state_by_turns(context, count, text, text, seconds)


@behave.when(
    '{count:d} answers state "{text}" and "{other}" by turns within '
    '{seconds:d} s'
)
def answers_state_by_turns(context, count, text, other, seconds):
    for number in range(count):
        context.limiter.observe(
            context.endpoint,
            statement((text, other)[number % 2]),
            number * seconds / count,
        )


@behave.then('the limit is "{limit}"')
def limit_is(context, limit):
    found = context.limiter.table.requests_per_s(context.endpoint)
    expected = None if limit == 'none' else float(limit)
    assert found == expected, found


def _count_lines(context, text):
    return sum(text in each for each in context.lines.messages)


@behave.then('{count:d} log line says "{text}"')
def line_says(context, count, text):
    assert _count_lines(context, text) == count, context.lines.messages


@behave.then('at most {count:d} log lines say "{text}"')
def lines_say(context, count, text):
    assert 2 <= _count_lines(context, text) <= count, context.lines.messages


@behave.given('entries "{names}" that know endpoint "{endpoint}"')
def entries_know(context, names, endpoint):
    context.limiters = {
        name: limiter.EndpointLimiter() for name in names.split(', ')
    }
    context.endpoint = limited_endpoint(endpoint)
    context.prepared = []


@behave.when('"e" states a limit of {limit:g} to "{entry}" at {at_s:g} s')
def states_limit_to(context, limit, entry, at_s):
    context.limiters[entry].observe(
        context.endpoint, statement(f'{limit:g}'), at_s
    )


@behave.when('"e" states no limit to "{entry}" at {at_s:g} s')
def states_none_to(context, entry, at_s):
    context.limiters[entry].observe(
        context.endpoint, statement('(absent)'), at_s
    )


@behave.when(
    '"{entry}" prepares a report after "e" stated a limit of {limit:g} at '
    '{at_s:g} s'
)
def prepares_report(context, entry, limit, at_s):
    states_limit_to(context, limit, entry, at_s)
    context.prepared = [
        (entry, each)
        for each in context.limiters[entry].table.reports(at_s + 0.01)
    ]


def _merge(context, receiver, origin, report, now_s):
    context.limiters[receiver].merge(
        origin, context.endpoint, report, now_s - 0.002, now_s
    )


@behave.when('"{entry}" gets the prepared report at {at_s:g} s')
def gets_prepared(context, entry, at_s):
    for origin, report in context.prepared:
        _merge(context, entry, origin, report, at_s)


@behave.when('the entries exchange limits at {at_s:g} s')
def exchange_limits(context, at_s):
    sent = [
        (origin, report)
        for origin, each in context.limiters.items()
        for report in each.table.reports(at_s)
    ]
    for receiver in context.limiters:
        for origin, report in sent:
            if origin != receiver:
                _merge(context, receiver, origin, report, at_s)


@behave.when('"{name}" starts again')
def starts_again(context, name):
    if name in context.limiters:
        context.limiters[name] = limiter.EndpointLimiter()
    else:
        context.endpoint = limited_endpoint(name, 2)


@behave.when('"e" is removed')
def is_removed(context):
    for each in context.limiters.values():
        each.keep_only(set())


@behave.when('{count:d} endpoints state limits to "{entry}"')
def many_state(context, count, entry):
    for number in range(count):
        context.limiters[entry].observe(
            limited_endpoint(f'i-{number:010x}', 1_790_000_000_000),
            statement('4.125'),
            1.0 + number,
        )


@behave.then('"{entry}" knows a limit of {limit:g} at "e"')
def knows_limit(context, entry, limit):
    found = context.limiters[entry].table.requests_per_s(context.endpoint)
    assert found == limit, found


@behave.then('"{entry}" knows no limit at "e"')
def knows_no_limit(context, entry):
    found = context.limiters[entry].table.requests_per_s(context.endpoint)
    assert found is None, found


@behave.then('"{entry}" has no limits left')
def no_limits_left(context, entry):
    assert not context.limiters[entry].table.limited_count()


@behave.then('the report of "{entry}" has at most {count:d} bytes')
def report_is_small(context, entry, count):
    content = msgspec.msgpack.encode(
        context.limiters[entry].table.reports(1000.0)
    )
    assert len(content) <= count, len(content)
