"""Steps for the request limits that endpoints state."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random

import behave
from features.models import permit_simulation
from godwitvalve.endpoint_limits import limiter
from godwitvalve.endpoint_limits import messages
from godwitvalve.endpoint_limits import permits
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
        each.expire(set(), 100.0)


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


def _run(entries, rate, senders, limit, length_s=30.0, prepare=None):
    simulation = permit_simulation.PermitSimulation(
        11, entries, limit, rate, senders
    )
    if prepare:
        prepare(simulation)
    simulation.run(length_s)
    return simulation


@behave.when(
    '{entries:d} entries send {rate:d} requests/s from {senders:d} of them '
    'to an endpoint with a limit of {limit:g}'
)
def entries_send(context, entries, rate, senders, limit):
    context.limit = limit
    context.length_s = 30.0
    context.simulation = _run(entries, rate, senders, limit)


def _restart_all(simulation):
    for number, each in enumerate(simulation.entries):
        simulation.restart(each, 5.0 + 2.0 * number, 6.5 + 2.0 * number)


def _lose_all_but_one(simulation):
    for each in simulation.entries[1:]:
        simulation.restart(each, 10.0, 1000.0)


EVENTS = {
    'the coordinator restarts': lambda simulation: simulation.restart(
        simulation.coordinator(), 10.0, 14.0
    ),
    'all restart one by one': _restart_all,
    'the fleet is cut in halves': lambda simulation: simulation.partition(
        10.0
    ),
    'all but one are lost': _lose_all_but_one,
}


@behave.when(
    '{entries:d} entries send 200 requests/s to an endpoint with a limit of '
    '{limit:g} while {event}'
)
def entries_send_while(context, entries, limit, event):
    context.limit = limit
    context.length_s = 30.0
    context.simulation = _run(entries, 200, None, limit, prepare=EVENTS[event])


@behave.then('it gets at most 1.5 times the limit and 5 requests in any 4 s')
def keeps_rule(context):
    arrivals_s = context.simulation.arrivals_s
    found = permit_simulation.most_in_window(arrivals_s)
    allowed = 1.5 * permit_simulation.WINDOW_S * context.limit + 5
    assert 0 < found <= allowed, found


@behave.then('at least {percent:d} in 100 of the limit are used')
def limit_is_used(context, percent):
    found = len(context.simulation.arrivals_s)
    allowed = context.limit * context.length_s
    assert found >= allowed * percent / 100, (found, allowed)


@behave.then('at most {count:d} questions/s are asked')
def few_questions(context, count):
    found = context.simulation.questions / context.length_s
    assert found <= count, found


@behave.then('equal shares of {entries:d} entries exceed a limit of {limit:g}')
def equal_shares_exceed(context, entries, limit):
    arrivals_s = permit_simulation.equal_shares(
        11, entries, limit, 800, entries, 30.0
    )
    found = permit_simulation.most_in_window(arrivals_s)
    assert found > 1.5 * permit_simulation.WINDOW_S * limit + 5, found
    context.limit = limit


@behave.then(
    'equal shares of {entries:d} entries use less than {percent:d} in 100 of '
    'it if one sends'
)
def equal_shares_waste(context, entries, percent):
    arrivals_s = permit_simulation.equal_shares(
        11, entries, context.limit, 800, 1, 300.0
    )
    assert len(arrivals_s) < context.limit * 300 * percent / 100


@behave.when(
    'an endpoint with a limit of {before:g} states a limit of {after:g} '
    'after {at_s:d} s'
)
def limit_changes(context, before, after, at_s):
    simulation = permit_simulation.PermitSimulation(11, 6, before, 200)
    simulation.run(at_s)
    simulation.state_limit(after)
    simulation.run(20.0)
    context.simulation = simulation


@behave.then(
    'it gets at most {count:d} requests in any 4 s from {from_s:d} s on'
)
def few_from(context, count, from_s):
    late_s = [each for each in context.simulation.arrivals_s if each > from_s]
    found = permit_simulation.most_in_window(late_s)
    assert 0 < found <= count, found


@behave.when(
    '{entries:d} entries each ask every {period_ms:d} ms for {seconds:d} s '
    'to confirm a limit of {limit:g}'
)
def entries_confirm(context, entries, period_ms, seconds, limit):
    issuer = permits.PermitIssuer()
    count = entries * seconds * 1000 // period_ms
    context.granted = sum(
        issuer.request(('e', 1), limit, True, number * seconds / count)
        == permits.Granted()
        for number in range(count)
    )


@behave.then('at most {most:d} and at least {least:d} permits are granted')
def granted_between(context, most, least):
    assert least <= context.granted <= most, context.granted


@behave.when('{count:d} callers are refused at once by a limit of {limit:g}')
def callers_refused(context, count, limit):
    single = limiter.EndpointLimiter(rng=random.Random(11))
    endpoint = limited_endpoint()
    single.observe(endpoint, statement(f'{limit:g}'), 0.0)
    context.waits_s = [
        single.retry_after_s(endpoint.service, [endpoint], 100.0)
        for _ in range(count)
    ]


@behave.then(
    'their return times are at least {gap_ms:d} ms apart up to {limit_s:d} s'
)
def returns_apart(context, gap_ms, limit_s):
    found = sorted(context.waits_s)
    assert found[-1] <= limit_s, found[-1]
    gaps_s = [after - before for before, after in itertools.pairwise(found)]
    assert min(gaps_s) * 1000 >= gap_ms, min(gaps_s)


@behave.then('no return time is later than {limit_s:d} s')
def no_later(context, limit_s):
    assert max(context.waits_s) <= limit_s, max(context.waits_s)


@behave.then(
    'the return times of the last {count:d} are spread over at least '
    '{seconds:d} s'
)
def returns_spread(context, count, seconds):
    last = context.waits_s[-count:]
    assert max(last) - min(last) >= seconds


@behave.given(
    'an endpoint with a limit of {limit:g} that another request confirmed '
    'just now'
)
def confirmed_just_now(context, limit):
    context.limiter = limiter.EndpointLimiter()
    context.endpoint = limited_endpoint()
    context.limiter.observe(context.endpoint, statement(f'{limit:g}'), 0.0)
    # The first question makes the bucket, the second one takes a permit.
    _ask(context, False, 10.0)
    assert _ask(context, False, 11.0)


def _ask(context, is_confirmation, now_s):
    """Tell whether a request may be sent."""
    limits = context.limiter.view([context.endpoint], is_confirmation, now_s)
    endpoint_id = context.endpoint.endpoint_id
    if endpoint_id in limits.exhausted:
        return False
    question = context.limiter.question(
        context.endpoint, endpoint_id in limits.unconfirmed
    )
    return context.limiter.apply_answer(
        context.endpoint,
        context.limiter.decide(question, now_s),
        now_s,
        question.is_confirmation,
    )


@behave.when('a request that would confirm the limit is denied')
def confirmation_denied(context):
    assert not _ask(context, True, 11.1)


@behave.then('an ordinary request may be sent at once')
def ordinary_may_be_sent(context):
    assert _ask(context, False, 11.11)


@behave.given('a coordinator that knows a limit of {limit:g}')
def coordinator_knows(context, limit):
    context.limiter = limiter.EndpointLimiter()
    context.endpoint = limited_endpoint()
    context.limiter.observe(context.endpoint, statement(f'{limit:g}'), 0.0)


@behave.when(
    'entries that know a limit of {limit:g} ask it every {period_ms:d} ms '
    'for {seconds:d} s'
)
def entries_ask(context, limit, period_ms, seconds):
    question = messages.PermitRequest(
        0, context.endpoint.endpoint_id, 1, limit, False
    )
    context.granted = sum(
        context.limiter.decide(question, number * period_ms / 1000).wait_ms
        == 0
        for number in range(seconds * 1000 // period_ms)
    )


@behave.then('at most {most:d} permits are granted')
def granted_at_most(context, most):
    assert 0 < context.granted <= most, context.granted


class _SilentSource:
    """Counts questions and answers none."""

    def __init__(self):
        self.hosts = []

    async def ask(self, host, question):
        self.hosts.append(host)


@behave.given('{count:d} endpoints whose coordinator does not answer')
def silent_coordinator(context, count):
    context.limiter = limiter.EndpointLimiter(
        lambda: limiter.Coordinators({'other': '10.0.0.2'})
    )
    context.limiter.source = _SilentSource()
    context.candidates = [
        limited_endpoint(f'e{number}') for number in range(count)
    ]
    for each in context.candidates:
        context.limiter.observe(each, statement('4'), 0.0)


@behave.when('a request asks for a permit at each of them')
def asks_each(context):
    async def run():
        for each in context.candidates:
            assert not await context.limiter.acquire(each, False)

    asyncio.run(run())


@behave.then('the coordinator was asked once')
def asked_once(context):
    found = context.limiter.source.hosts
    assert found == ['10.0.0.2'], found
