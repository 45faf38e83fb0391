"""Steps for turns at full services."""

from __future__ import annotations

import asyncio
import collections
import itertools

import behave
from features.doubles import forwarding_site
from features.doubles import slot_endpoint
from godwitvalve.fleet import routes
from godwitvalve.forwarding import exchange
from godwitvalve.forwarding import replies
from godwitvalve.queueing import fair_queue
import hypothesis
from hypothesis import strategies

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
LONG_S = 1e6
CALL_S = 0.4
CALL_LIMIT_S = 1.0
ROUTE = forwarding_site.route(routes.RequestKind.ONCE, objective_ms=400.0)


class _Driver:
    """Feeds a queue and records which calls run."""

    def __init__(self):
        self.queue = fair_queue.FairQueue()
        self.now_s = 100.0
        self.running = collections.Counter()
        self.waiting = 0
        self.turns = []
        self._tickets = itertools.count()

    def arrive(self, account, priority=0, remaining_s=LONG_S):
        ticket = (account, priority, next(self._tickets))
        admission = self.queue.arrive(
            account, priority, ticket, self.now_s, self.now_s + remaining_s
        )
        match admission:
            case fair_queue.Started():
                self.running[account] += 1
            case fair_queue.Queued():
                self.waiting += 1
        return admission

    def decline(self, account):
        ticket = (account, 0, next(self._tickets))
        self.running[account] -= 1
        self.waiting += 1
        self.queue.decline(account, 0, ticket, self.now_s, self.now_s + LONG_S)

    def _begin(self, calls):
        self.waiting -= len(calls.refused)
        for account, priority, _ in calls.started:
            self.running[account] += 1
            self.waiting -= 1
            self.turns.append((account, priority))

    def finish(self, account):
        self.running[account] -= 1
        self._begin(self.queue.finish(account, self.now_s, CALL_S))

    def probe(self):
        self._begin(self.queue.probe(self.now_s))


@behave.given('a queue')
def empty_queue(context):
    context.driver = _Driver()


@behave.given(
    'a queue with {count:d} running calls of "{account}" and a declined one'
)
def full_queue(context, count, account):
    context.driver = _Driver()
    for _ in range(count + 1):
        context.driver.arrive(account)
    context.driver.decline(account)


@behave.when('{count:d} calls of "{account}" arrive')
def calls_arrive(context, count, account):
    for _ in range(count):
        context.driver.arrive(account)


@behave.when('calls of "{account}" with the priorities "{priorities}" arrive')
def priorities_arrive(context, account, priorities):
    for priority in priorities.split(', '):
        context.driver.arrive(account, int(priority))


@behave.when('a call of "{account}" ends')
def call_ends(context, account):
    # The declined call of the large account waits first in its order.
    context.driver.finish(account)


@behave.when(
    '{count:d} calls of "{account}" end and start within {span_s:g} s'
)
def calls_end(context, count, account, span_s):
    driver = context.driver
    for _ in range(count):
        driver.now_s += span_s / count / 2
        driver.arrive(account)
        driver.finish(account)


@behave.when('{span_s:g} s pass without a decline')
def time_passes(context, span_s):
    driver = context.driver
    end_s = driver.now_s + span_s
    while driver.now_s < end_s:
        driver.now_s += fair_queue.PROBE_PERIOD_S
        driver.probe()


@behave.then('{running:d} calls run and {waiting:d} wait')
def calls_run(context, running, waiting):
    driver = context.driver
    assert (driver.running.total(), driver.waiting) == (running, waiting), (
        driver.running,
        driver.waiting,
    )


@behave.then('"{account}" has {count:d} running calls')
def account_runs(context, account, count):
    assert context.driver.running[account] == count, context.driver.running


@behave.then('the turns of "{account}" have the priorities "{priorities}"')
def turns_follow(context, account, priorities):
    driver = context.driver
    expected = [(account, int(each)) for each in priorities.split(', ')]
    while len(driver.turns) < len(expected):
        driver.finish(account)
    assert driver.turns == expected, driver.turns


@behave.then(
    'a call of "{account}" with {left_s:g} s left is refused for {wait_s:g} s'
)
def is_refused(context, account, left_s, wait_s):
    admission = context.driver.arrive(account, 0, left_s)
    assert isinstance(admission, fair_queue.Refused), admission
    assert abs(admission.retry_after_s - wait_s) < 0.01, admission


@behave.then('a call of "{account}" with {left_s:g} s left waits')
def waits(context, account, left_s):
    admission = context.driver.arrive(account, 0, left_s)
    assert isinstance(admission, fair_queue.Queued), admission


@behave.then('the queue has no limit')
def has_no_limit(context):
    for _ in range(100):
        assert isinstance(context.driver.arrive('z'), fair_queue.Started)


@behave.then('generated events never lose a turn')
def generated_events(context):
    events = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['arrive', 'finish', 'decline', 'probe']),
            strategies.sampled_from('abc'),
        ),
        max_size=60,
    )

    @SETTINGS
    @hypothesis.given(events)
    def check(sequence):
        driver = _Driver()
        for event, account in sequence:
            driver.now_s += 0.01
            match event:
                case 'arrive':
                    driver.arrive(account)
                case 'finish' if driver.running[account]:
                    driver.finish(account)
                case 'decline' if driver.running[account]:
                    driver.decline(account)
                case 'probe':
                    driver.probe()
        for _ in range(500):
            driver.now_s += fair_queue.PROBE_PERIOD_S
            driver.probe()
            for account in 'abc':
                if driver.running[account]:
                    driver.finish(account)
        assert not driver.waiting
        assert not driver.running.total()
        assert driver.queue.is_idle

    check()


@behave.given('a service of {slots:d} slots with {work_ms:d} ms a call')
def service_with_slots(context, slots, work_ms):
    context.endpoint = slot_endpoint.SlotEndpoint(slots, work_ms / 1000)


class _Unordered:
    """Turns without an order: every call runs at once."""

    def at(self, service):
        return self

    async def begin(self, account, priority, deadline_s):
        return self

    async def wait_again(self):
        await asyncio.sleep(0.03)

    def end(self, was_sent=True):
        pass


async def _send_calls(site, account, rate, span_s, results):
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    calls = []

    async def send(number):
        sent_s = loop.time()
        reply = await site.call(
            ROUTE, CALL_LIMIT_S, f'{account}-{number}', account
        )
        results[account].append((reply, loop.time() - sent_s))

    for number in range(int(rate * span_s)):
        await asyncio.sleep(max(began_s + number / rate - loop.time(), 0.0))
        calls.append(asyncio.create_task(send(number)))
    await asyncio.gather(*calls)


def _play(context, rates, span_s, turns=None):
    async def run():
        await context.endpoint.start()
        site = forwarding_site.ForwardingSite([context.endpoint], turns=turns)
        context.results = collections.defaultdict(list)
        await asyncio.gather(
            *(
                _send_calls(site, account, rate, span_s, context.results)
                for account, rate in rates.items()
            )
        )
        await context.endpoint.stop()

    asyncio.run(run())


@behave.when(
    '"{large}" sends {fast:d} calls/s and "{small}" {slow:d} calls/s for '
    '{span_s:d} s'
)
def two_accounts(context, large, fast, small, slow, span_s):
    _play(context, {large: fast, small: slow}, span_s)


@behave.when(
    '"{large}" sends {fast:d} calls/s and "{small}" {slow:d} calls/s for '
    '{span_s:d} s in no order'
)
def two_accounts_unordered(context, large, fast, small, slow, span_s):
    _play(context, {large: fast, small: slow}, span_s, _Unordered())


def _share_in_time(context, account, limit_ms):
    results = context.results[account]
    in_time = [
        reply
        for reply, taken_s in results
        if isinstance(reply, exchange.Answered) and taken_s * 1000 <= limit_ms
    ]
    return len(in_time) / len(results)


@behave.then(
    '{percent:d} in 100 calls of "{account}" are answered within '
    '{limit_ms:d} ms'
)
def answered_in_time(context, percent, account, limit_ms):
    share = _share_in_time(context, account, limit_ms)
    assert share >= percent / 100, share


@behave.then(
    'less than {percent:d} in 100 calls of "{account}" are answered within '
    '{limit_ms:d} ms'
)
def not_answered_in_time(context, percent, account, limit_ms):
    share = _share_in_time(context, account, limit_ms)
    assert share < percent / 100, share


@behave.then('the service ran at least {count:d} calls')
def service_ran(context, count):
    assert context.endpoint.ran >= count, context.endpoint.ran


@behave.then('each refused call was told when to return')
def told_when_to_return(context):
    refused = [
        reply
        for results in context.results.values()
        for reply, _ in results
        if not isinstance(reply, exchange.Answered)
    ]
    assert refused
    assert all(isinstance(each, replies.Refusal) for each in refused), refused
    assert all(each.retry_after_s > 0 for each in refused)


@behave.given(
    'a full service whose calls take {call_ms:d} ms, with 1 in flight and '
    '{waiting:d} waiting'
)
def full_service(context, call_ms, waiting):
    context.queue = fair_queue.FairQueue()
    context.queue.arrive('acme', 0, 'first', 0.0, 9.0)
    context.queue.finish('acme', call_ms / 1000, call_ms / 1000)
    for number in range(2):
        context.queue.arrive('acme', 0, f'running {number}', 0.1, 9.0)
    context.queue.decline('acme', 0, 'running 1', 0.1, 9.0)
    for number in range(waiting - 1):
        context.queue.arrive('acme', 0, f'waiting {number}', 0.1, 90.0)


@behave.when('{count:d} of them get their turn within a second unsent')
def calls_end_unsent(context, count):
    for number in range(count):
        context.queue.finish('acme', 0.1 + number / count, 0.003, False)


@behave.then('a call with {left_ms:d} ms left is refused at once')
def refused_at_once(context, left_ms):
    found = context.queue.arrive('acme', 0, 'late', 1.1, 1.1 + left_ms / 1000)
    assert isinstance(found, fair_queue.Refused), found
