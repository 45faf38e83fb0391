"""Steps for shares of limits, token buckets and fair admission."""

from __future__ import annotations

import asyncio
import functools

import behave
from bench import share_network
from features.variants import limits as variants
from godwitvalve import clock as clocks
from godwitvalve.limits import admission
from godwitvalve.limits import buckets
from godwitvalve.limits import model
from godwitvalve.limits import queue
from godwitvalve.limits import shares
from godwitvalve.limits import split
from godwitvalve.outcomes import codes
import hypothesis
from hypothesis import strategies
import msgpack

# Tolerance for the rounding of sums of shares.
_ROUNDING = 1e-6
_ACCOUNT = 'portal'
_VARIANTS = {
    'the real shares': shares.AccountShares,
    'without fallback': variants.WithoutFallback,
    'without reservation': variants.WithoutReservation,
    'without waiting': variants.WithoutWaiting,
}


def _settings(examples):
    return hypothesis.settings(
        derandomize=True,
        max_examples=examples,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


@behave.then(
    'the split agrees with its reference implementation on generated demands'
)
def split_agrees(context):
    @_settings(60)
    @hypothesis.given(
        strategies.lists(
            strategies.floats(0, 2).map(lambda value: round(value, 2)),
            min_size=1,
            max_size=7,
        )
    )
    def check(values):
        demands = {f'e{index}': value for index, value in enumerate(values)}
        base = 1 / len(demands)
        wanted = variants.naive_targets(demands, base)
        given = split.targets(demands, base)
        assert abs(sum(given.values()) - 1) < 1e-9, given
        for name in demands:
            assert abs(given[name] - wanted[name]) < 1e-3, (given, wanted)

    check()


def _network(make_shares=shares.AccountShares, count=6, seed=1):
    network = share_network.ShareNetwork(seed, make_shares)
    for index in range(count):
        network.start(f'e{index}', 0.1)
    return network


def _advance(context, duration_s):
    for _ in context.network.run(duration_s):
        context.worst = max(context.worst, context.network.total(_ACCOUNT))


@behave.given('{count:d} entries that exchange shares')
def entries_exchange(context, count):
    context.network = _network(count=count)
    context.worst = 0.0


def _set_demands(network, name, demand, others):
    for entry in network.entries.values():
        value = demand if entry.name == name else others
        entry.demands = {_ACCOUNT: value}


@behave.when(
    'the share demand of "{name}" is {demand:f} and of the others {others:f}'
)
def set_demand(context, name, demand, others):
    _set_demands(context.network, name, demand, others)


@behave.when('{duration_s:d} s of share exchange pass')
def exchange_passes(context, duration_s):
    _advance(context, duration_s)


@behave.then('whole units keep close to the even split on generated demands')
def whole_units_agree(context):
    @_settings(300)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from((0.0, 0.1, 0.3, 1.0)),
            min_size=1,
            max_size=9,
        ),
        strategies.integers(1, 17),
    )
    def check(values, units):
        demands = {f'e{index}': value for index, value in enumerate(values)}
        base = 1 / len(demands)
        given = split.whole_units(_ACCOUNT, demands, base, units)
        exact = split.targets(demands, base, min_own=0.0)
        counts = {name: given[name] * units for name in given}
        assert abs(sum(counts.values()) - units) < _ROUNDING, counts
        for name, count in counts.items():
            assert abs(count - round(count)) < _ROUNDING, counts
            assert abs(count - exact[name] * units) < 1 + _ROUNDING, counts

    check()


def _set_wanted(network, limit, wanted):
    for index, entry in enumerate(network.entries.values()):
        demand = 0.9 if index < wanted else 0.0
        entry.demands = {_ACCOUNT: demand}
        entry.uses = {_ACCOUNT: model.AccountUse(0.0, limit)}


def _units(network, limit):
    return {
        name: entry.shares.units(_ACCOUNT, limit, entry.clock_s(network.now_s))
        for name, entry in network.entries.items()
        if not entry.paused
    }


@behave.when(
    'an account with {limit:d} concurrent requests is wanted at {wanted:d}'
)
def concurrent_wanted(context, limit, wanted):
    context.limit = limit
    context.wanted = wanted
    _set_wanted(context.network, limit, wanted)


@behave.then('{units:d} requests may be in flight at all entries together')
def units_of_all_entries(context, units):
    given = _units(context.network, context.limit)
    assert sum(given.values()) == units, given


@behave.then('without whole units only {units:d} may be in flight')
def units_of_variant(context, units):
    network = _network(variants.WithoutWholeUnits)
    _set_wanted(network, context.limit, context.wanted)
    list(network.run(10))
    given = _units(network, context.limit)
    assert sum(given.values()) == units, given


@behave.when(
    'entry "{name}" has all {limit:d} in flight and entry "{other}" wants them'
)
def all_in_flight(context, name, limit, other):
    entries = context.network.entries
    entries[name].uses = {_ACCOUNT: model.AccountUse(1.0, limit)}
    entries[name].demands = {_ACCOUNT: 1.0}
    entries[other].demands = {_ACCOUNT: 1.0}


@behave.when('the requests of entry "{name}" end')
def in_flight_end(context, name):
    entry = context.network.entries[name]
    entry.uses = {_ACCOUNT: model.AccountUse(0.0, context.limit)}
    entry.demands = {}


@behave.then('entry "{name}" may have {units:d} requests in flight')
def units_at(context, name, units):
    given = _units(context.network, context.limit)
    assert given[name] == units, given


@behave.when('entry "{name}" is isolated')
def entry_isolated(context, name):
    context.network.isolate([name])


@behave.when('entry "{name}" starts')
def entry_starts(context, name):
    context.network.start(name, 0.1)


@behave.when('entry "{name}" crashes and is no longer listed')
def entry_crashes(context, name):
    context.network.stop(name)
    context.network.set_listed(context.network.listed() - {name})


@behave.when('refused connections are not reported')
def refused_not_reported(context):
    context.network.reports_refused = False


@behave.then('the sum of shares is at most {most:f}')
def sum_at_most(context, most):
    total = context.network.total(_ACCOUNT)
    assert total <= most, total


@behave.when('entry "{name}" restarts')
def entry_restarts(context, name):
    context.network.stop(name)
    context.network.start(name, 0.1)


@behave.when(
    'entry "{name}" is paused for {duration_s:d} s and no longer listed'
)
def entry_pauses(context, name, duration_s):
    network = context.network
    network.entries[name].paused = True
    network.set_listed(network.listed() - {name})
    _advance(context, duration_s)
    network.entries[name].paused = False


@behave.then('entry "{name}" has a share of at least {least:f}')
def share_at_least(context, name, least):
    share = context.network.share(name, _ACCOUNT)
    assert share >= least, share


@behave.then('entry "{name}" has a share of at most {most:f}')
def share_at_most(context, name, most):
    share = context.network.share(name, _ACCOUNT)
    assert share <= most, share


@behave.then('no entry has a share below {least:f}')
def no_share_below(context, least):
    for name in context.network.entries:
        share_at_least(context, name, least)


@behave.then(
    'with shares that never follow the demand "{name}" has at most {most:f}'
)
def fixed_shares(context, name, most):
    network = _network(variants.FixedShares)
    _set_demands(network, name, 0.9, 0.01)
    list(network.run(10))
    assert 0 < network.share(name, _ACCOUNT) <= most


@behave.then('the sum of shares never exceeded the limit')
def sum_within(context):
    assert context.worst <= 1 + _ROUNDING, context.worst


@behave.then('the sum of shares is at least {least:f}')
def sum_at_least(context, least):
    total = context.network.total(_ACCOUNT)
    assert total >= least, total


def _simulate_partition(network):
    """Isolate a borrower, then raise the demand of its lenders."""
    _set_demands(network, 'e0', 0.9, 0.01)
    worst = _worst_of(network, 10)
    network.isolate(['e0'])
    _set_demands(network, 'e1', 0.9, 0.3)
    return max(worst, _worst_of(network, 15))


def _simulate_join(network):
    """Start an entry that is missing from the lagging lists of others."""
    worst = _worst_of(network, 10)
    for entry in network.entries.values():
        entry.list_lag_s = 8.0
    network.start('e6', 0.1)
    return max(worst, _worst_of(network, 30))


def _worst_of(network, duration_s):
    return max(network.total(_ACCOUNT) for _ in network.run(duration_s))


_SIMULATIONS = {'a partition': _simulate_partition, 'a join': _simulate_join}


@behave.when('{scenario} is simulated with {variant}')
def simulate(context, scenario, variant):
    network = _network(_VARIANTS[variant])
    context.worst = _SIMULATIONS[scenario](network)


@behave.then('the sum of shares stayed within the limit: {within}')
def stayed_within(context, within):
    held = context.worst <= 1 + _ROUNDING
    assert held is (within == 'yes'), context.worst


_FAULTS = (
    'demand',
    'start',
    'kill',
    'unlist',
    'restart',
    'pause',
    'resume',
    'isolate',
    'heal',
    'list down',
    'list unreadable',
    'list up',
)


class _FaultRun:
    """Applies generated faults to a simulated network of entries."""

    def __init__(self, seed, loss, delay_s, limit):
        self._limit = limit
        self.network = _network(seed=seed)
        self.network.faults.loss = loss
        self.network.faults.delay_s = delay_s
        self.network.reports_refused = seed % 4 != 0
        self._random = self.network.random
        self._started = 6
        for entry in self.network.entries.values():
            entry.list_lag_s = self._random.uniform(0, 8)

    def _pick(self):
        return self._random.choice(sorted(self.network.entries))

    def _start(self, name):
        entry = self.network.start(name, 0.1)
        entry.list_lag_s = self._random.uniform(0, 8)

    def apply(self, fault):
        """Apply the fault of this name."""
        network = self.network
        entries = network.entries
        match fault:
            case 'demand':
                for entry in entries.values():
                    demand = self._random.choice((0, 0.01, 0.1, 0.5, 1.5))
                    entry.demands = {_ACCOUNT: demand}
                    in_use = self._random.choice((0, 0, 0.1, 0.5))
                    use = model.AccountUse(in_use, self._limit)
                    entry.uses = {_ACCOUNT: use}
            case 'start' if len(entries) < 9:
                self._start(f'e{self._started}')
                self._started += 1
            case 'kill' if len(entries) > 3:
                name = self._pick()
                network.stop(name)
                network.set_listed(network.listed() - {name})
            case 'unlist' if len(entries) > 3:
                network.set_listed(network.listed() - {self._pick()})
            case 'restart':
                name = self._pick()
                network.stop(name)
                self._start(name)
            case 'pause':
                entries[self._pick()].paused = True
            case 'resume':
                for entry in entries.values():
                    entry.paused = False
            case 'isolate':
                count = self._random.randint(1, len(entries) - 1)
                network.isolate(self._random.sample(sorted(entries), count))
            case 'heal':
                network.heal()
            case 'list down':
                network.list_available = False
            case 'list unreadable':
                entries[self._pick()].can_read_list = False
            case 'list up':
                network.list_available = True
                for entry in entries.values():
                    entry.can_read_list = True


@behave.then('generated faults never push the sum of shares over the limit')
def generated_faults(context):
    @_settings(40)
    @hypothesis.given(
        strategies.integers(0, 10_000),
        strategies.sampled_from((0.0, 0.05, 0.3)),
        strategies.sampled_from((0.01, 0.5, 3.0)),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_FAULTS),
                strategies.sampled_from((1, 3, 10, 30)),
            ),
            min_size=3,
            max_size=15,
        ),
    )
    def check(seed, loss, delay_s, faults):
        limit_units = seed % 9 + 1
        run = _FaultRun(seed, loss, delay_s, limit_units)
        run.apply('demand')
        for fault, duration_s in faults:
            run.apply(fault)
            for _ in run.network.run(duration_s):
                total = run.network.total(_ACCOUNT)
                assert total <= 1 + _ROUNDING, (fault, total)
                for limit in (1, limit_units, 64):
                    given = _units(run.network, limit)
                    assert sum(given.values()) <= limit, (fault, given)

    check()


def _report(origin='e1', sequence=1, demand=0.5):
    return model.DemandReport(
        origin,
        7,
        sequence,
        b'12345678',
        2,
        True,
        (model.Acknowledgement('e0', 3, 4),),
        (model.AccountDemand(_ACCOUNT, demand, 0.25),),
        (model.Grant(_ACCOUNT, 'e0', 3, 4, 0.125),),
    )


@behave.then('a demand report survives msgpack')
def report_survives(context):
    report = _report()
    packed = msgpack.packb(report)
    assert model.report_from_wire(msgpack.unpackb(packed)) == report
    assert len(packed) < 100, len(packed)


@behave.then('a malformed demand report is refused')
def malformed_refused(context):
    fields = list(_report())
    bad = [fields[:-1], fields + [1]]
    bad += [
        fields[:index] + [{'a': 1}] + fields[index + 1 :]
        for index in range(1, len(fields))
        if index != 5  # any value converts to bool
    ]
    bad.append(fields[:7] + [[['a', -1.0, 0.0]]] + fields[8:])
    bad.append(fields[:7] + [[['a']]] + fields[8:])
    for item in bad:
        try:
            model.report_from_wire(item)
        except ValueError:
            continue
        raise AssertionError(item)


@behave.then('a demand report that arrives after a newer one changes nothing')
def late_report(context):
    network = _network(count=2)
    _set_demands(network, 'e0', 0.9, 0.0)
    list(network.run(10))
    entry = network.entries['e0']
    now_s = entry.clock_s(network.now_s)
    before = entry.shares.share(_ACCOUNT, now_s)
    assert before > 0.5, before
    sender = network.entries['e1'].shares
    now_other_s = network.entries['e1'].clock_s(network.now_s)
    old = sender.make_report({_ACCOUNT: 0.0}, now_other_s)
    new = sender.make_report({_ACCOUNT: 0.5}, now_other_s)
    entry.shares.receive(new, now_s)
    wanted = entry.shares.share(_ACCOUNT, now_s)
    entry.shares.receive(old, now_s)
    assert entry.shares.share(_ACCOUNT, now_s) == wanted


def _request(number, account, cost=100.0, deadline_s=1e9):
    return queue.QueuedRequest(number, account, cost, deadline_s)


@behave.then('the admission queue agrees with its reference implementation')
def queue_agrees(context):
    accounts = strategies.sampled_from(('a', 'b', 'c'))
    offers = strategies.tuples(accounts, strategies.integers(1, 3000))

    @_settings(300)
    @hypothesis.given(
        strategies.lists(strategies.none() | offers, max_size=60),
        strategies.tuples(*[strategies.integers(1, 5)] * 3),
    )
    def check(steps, weights):
        priorities = dict(zip('abc', weights))
        naive = variants.NaiveRoundRobin(priorities)
        tested = queue.AdmissionQueue(0.0)
        for account, priority in priorities.items():
            tested.set_priority(account, priority)
        for number, step in enumerate(steps + [None] * 60):
            if step is None:
                assert tested.take(0.0) == naive.take()
                continue
            request = _request(number, *step)
            tested.offer(request, 0.0)
            naive.offer(request)
        assert len(tested) == 0

    check()


def _order_of_service(tested, flood):
    for number in range(flood):
        tested.offer(_request(number, 'large'), 0.0)
    tested.offer(_request(flood, 'small'), 0.0)
    return [tested.take(0.0).client_account for _ in range(flood + 1)]


@behave.when(
    'one account floods the queue with {flood:d} requests and another sends 1'
)
def flood_queue(context, flood):
    context.fair = _order_of_service(queue.AdmissionQueue(0.0), flood)
    naive = variants.FirstComeFirstServed(0.0)
    context.unfair = _order_of_service(naive, flood)


@behave.then('the small account is served among the first {count:d}')
def small_served_early(context, count):
    assert 'small' in context.fair[:count], context.fair.index('small')


@behave.then('first come, first served serves it after {count:d} others')
def small_served_late(context, count):
    assert context.unfair.index('small') == count


@behave.when(
    'accounts of priority {first:d} and {second:d} keep the queue full'
)
def queue_kept_full(context, first, second):
    tested = queue.AdmissionQueue(0.0)
    tested.set_priority('first', first)
    tested.set_priority('second', second)
    context.served = {'first': 0.0, 'second': 0.0}
    for number in range(1000):
        for account in context.served:
            tested.offer(_request(number, account, 130.0), 0.0)
    for _ in range(1000):
        request = tested.take(0.0)
        context.served[request.client_account] += request.cost_tokens


@behave.then(
    'the second gets {times:d} times the tokens of the first '
    'within {percent:d} percent'
)
def shared_by_priority(context, times, percent):
    ratio = context.served['second'] / context.served['first']
    assert abs(ratio / times - 1) <= percent / 100, ratio


def _measure_rate(tested, tokens_per_s):
    tested.set_busy(True, 0.0)
    for tenth in range(1, 101):
        tested.record_finished(tokens_per_s / 10, tenth / 10)


@behave.given('a queue that serves {rate:d} tokens per second')
def queue_with_rate(context, rate):
    context.queue = queue.AdmissionQueue(0.0)
    context.now_s = 10.0
    _measure_rate(context.queue, rate)


@behave.when('{tokens:d} tokens of one account are queued')
def tokens_queued(context, tokens):
    for number in range(tokens // 100):
        context.queue.offer(_request(number, 'large'), context.now_s)


def _offer_with(context, account, remaining_s):
    request = _request(999, account, 100.0, context.now_s + remaining_s)
    return context.queue.offer(request, context.now_s)


@behave.then(
    'a request with a deadline in {remaining_s:d} s is refused '
    'with a retry time in {retry_s:d} s'
)
def refused_with_retry(context, remaining_s, retry_s):
    answer = _offer_with(context, 'large', remaining_s)
    assert isinstance(answer, queue.Rejected), answer
    retry_in_s = answer.retry_at_s - context.now_s
    assert abs(retry_in_s - retry_s) < 0.5, retry_in_s


@behave.then('a request with a deadline in {remaining_s:d} s is queued')
def is_queued(context, remaining_s):
    answer = _offer_with(context, 'large', remaining_s)
    assert isinstance(answer, queue.Queued), answer


@behave.then(
    'a request of another account with a deadline in {remaining_s:d} s '
    'is queued'
)
def other_is_queued(context, remaining_s):
    answer = _offer_with(context, 'small', remaining_s)
    assert isinstance(answer, queue.Queued), answer


@behave.then(
    'the estimated wait is within {percent:d} percent of the simulated wait'
)
def estimate_is_close(context, percent):
    for weight in (1, 3):
        tested = queue.AdmissionQueue(0.0)
        tested.set_priority('large', weight)
        _measure_rate(tested, 1000)
        for number in range(200):
            tested.offer(_request(number, 'large'), 10.0)
        for number in range(20):
            tested.offer(_request(number, 'small'), 10.0)
        last = _request(999, 'small')
        expected_s = tested.offer(last, 10.0).expected_s - 10.0
        ahead = iter(functools.partial(tested.take, 10.0), last)
        real_s = sum(item.cost_tokens for item in ahead) / 1000
        assert abs(expected_s / real_s - 1) <= percent / 100, (
            expected_s,
            real_s,
        )


def _admitted_in(bucket, rate, duration_s, cost):
    admitted = 0
    for step in range(duration_s * 1000):
        bucket.fill(rate, step / 1000)
        if bucket.can_take(cost):
            bucket.take(cost)
            admitted += 1
    return admitted


@behave.then(
    'a token bucket of {rate:d} per second admits between {low:d} '
    'and {high:d} in {duration_s:d} s'
)
def bucket_keeps_rate(context, rate, low, high, duration_s):
    bucket = buckets.TokenBucket(0.0)
    admitted = _admitted_in(bucket, rate, duration_s, 1.0)
    assert low <= admitted <= high, admitted


@behave.then('requests larger than the burst are admitted at the rate too')
def large_requests_keep_rate(context):
    bucket = buckets.TokenBucket(0.0)
    admitted = _admitted_in(bucket, 1000, 20, 4000.0)
    assert 5 <= admitted <= 6, admitted


class _ManualClock:
    """Clock that stands still until a test sets it."""

    def __init__(self):
        self.now_s = 1000.0

    def monotonic_s(self):
        """Return the set time."""
        return self.now_s

    def wall_s(self):
        """Return the set time as Unix seconds."""
        return 1e9 + self.now_s


def _admission(clock, requests_per_s, concurrent, slots):
    now_s = clock.monotonic_s()
    account_shares = shares.AccountShares('e0', 1, now_s)
    account_shares.update_members(['e0'], now_s, now_s)
    tested = admission.Admission(clock, account_shares, slots)
    limit = model.AccountLimit(requests_per_s, 1e9, concurrent)
    tested.set_limits({_ACCOUNT: limit})
    return tested


@behave.given(
    'an admission with {rate:d} requests/s, {concurrent:d} concurrent '
    'and {slots:d} slots'
)
def admission_with(context, rate, concurrent, slots):
    context.clock = _ManualClock()
    context.admission = _admission(context.clock, rate, concurrent, slots)
    context.slots = slots


async def _admit(context, remaining_s=60.0):
    return await context.admission.admit(
        _ACCOUNT, 10.0, context.clock.monotonic_s() + remaining_s
    )


@behave.when('{count:d} requests ask for admission at once')
def ask_at_once(context, count):
    async def ask():
        return [await _admit(context) for _ in range(count)]

    context.answers = asyncio.run(ask())


@behave.then('{count:d} were admitted and the rest refused with {code:w}')
def admitted_and_refused(context, count, code):
    admitted = [
        answer
        for answer in context.answers
        if isinstance(answer, admission.Admitted)
    ]
    assert len(admitted) == count, len(admitted)
    refused = {
        answer.code for answer in context.answers if answer not in admitted
    }
    assert refused == {codes.ResultCode[code]}, refused


@behave.then(
    'a retry is admitted at the retry time of the last refusal, not before'
)
def retry_time_admits(context):
    refusal = context.answers[-1]
    wait_s = refusal.retry_at_wall_s - context.clock.wall_s()
    assert 0 < wait_s <= 1, wait_s
    context.clock.now_s += wait_s - 0.001
    early = asyncio.run(_admit(context))
    assert not isinstance(early, admission.Admitted), early
    context.clock.now_s += 0.002
    answer = asyncio.run(_admit(context))
    assert isinstance(answer, admission.Admitted), answer


@behave.when('{count:d} short requests are admitted and released')
def admit_and_release(context, count):
    context.running = context.most_running = context.ended = 0

    async def run_one():
        async with await _admit(context):
            context.running += 1
            context.most_running = max(context.most_running, context.running)
            await asyncio.sleep(0)
            context.running -= 1
        context.ended += 1

    async def run_all():
        await asyncio.gather(*(run_one() for _ in range(count)))

    asyncio.run(run_all())


@behave.then('at most {slots:d} ran at once and all {count:d} ended')
def at_most_at_once(context, slots, count):
    assert context.most_running == slots, context.most_running
    assert context.ended == count, context.ended


@behave.then('all slots of the admission are free')
def slots_free(context):
    async def fill():
        return [await _admit(context) for _ in range(context.slots)]

    answers = asyncio.run(fill())
    admitted = [isinstance(item, admission.Admitted) for item in answers]
    assert all(admitted), answers


@behave.when(
    '{count:d} requests wait for admission and {cancelled:d} of them '
    'are cancelled'
)
def waiters_cancelled(context, count, cancelled):
    async def run():
        first = await _admit(context)
        waiters = [asyncio.create_task(_admit(context)) for _ in range(count)]
        await asyncio.sleep(0)
        for waiter in waiters[:cancelled]:
            waiter.cancel()
        await asyncio.gather(*waiters[:cancelled], return_exceptions=True)
        context.admission.release(first)
        context.served = 0
        for waiter in waiters[cancelled:]:
            context.admission.release(await waiter)
            context.served += 1

    asyncio.run(run())


@behave.then('the other {count:d} are served and all slots are free')
def others_served(context, count):
    assert context.served == count
    slots_free(context)


@behave.when('a request waits for admission until its deadline')
def waits_until_deadline(context):
    context.admission = _admission(clocks.SystemClock(), 1000, 64, 1)
    context.clock = clocks.SystemClock()

    async def run():
        await _admit(context)
        return await _admit(context, 0.05)

    context.answers = [asyncio.run(run())]


@behave.then('it is refused with {code:w} and a retry time')
def refused_with(context, code):
    answer = context.answers[0]
    assert answer.code is codes.ResultCode[code], answer
    assert answer.retry_at_wall_s is not None


@behave.then('an unknown account is refused with {code:w}')
def unknown_refused(context, code):
    answer = asyncio.run(context.admission.admit('nobody', 1.0, 1e9))
    assert answer.code is codes.ResultCode[code], answer
