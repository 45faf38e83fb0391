"""Steps for the fencing lease and the orders to endpoints."""

from __future__ import annotations

import itertools

import behave
from features.variants import orders as variants
from godwitvalve.engine import port as engine_port
from godwitvalve.orders import lease
from godwitvalve.orders import reconciler
from godwitvalve.routing import endpoint as endpoint_model
import hypothesis
from hypothesis import strategies

_LEASES = {
    'the real lease': lease.FencingLease,
    'a lease without the wait': variants.WithoutWait,
    'a lease without the deadline check': variants.WithoutDeadlineCheck,
}


def _run(coroutine):
    """Run a coroutine that never waits; faster than a new event loop."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError('the coroutine waits')


class _EntryClock:
    """Clock of one entry, derived from a shared simulated time."""

    def __init__(self, sim_time, rate=1.0):
        self._sim_time = sim_time
        self._rate = rate

    def monotonic_s(self):
        """Return this entry's monotonic seconds."""
        return 500 + self._sim_time['now_s'] * self._rate

    def wall_s(self):
        """Fail: the lease must not read the wall clock."""
        raise AssertionError('wall clock read')


class _Entry:
    """One entry that contends for the lease."""

    def __init__(
        self, name, table, sim_time, rate=1.0, kind=lease.FencingLease
    ):
        self.name = name
        nonces = (f'{name}-{number}' for number in itertools.count())
        self.lease = kind(
            table,
            'summaries',
            name,
            _EntryClock(sim_time, rate),
            nonces.__next__,
        )
        self.paused = False

    def acquire_or_renew(self):
        """Acquire or renew the lease unless this entry is paused."""
        if not self.paused:
            _run(self.lease.acquire_or_renew())

    def number(self):
        """Return the fencing number with which an order would be sent."""
        return None if self.paused else self.lease.fencing_number()


@behave.given('entries "{names}" that contend for the order lease')
def lease_entries(context, names):
    context.sim_time = {'now_s': 0.0}
    context.store = variants.MemoryTable()
    context.entries = {
        name: _Entry(name, context.store, context.sim_time)
        for name in names.split(', ')
    }


@behave.when('both acquire or renew for {duration_s:d} s')
def both_acquire_or_renew(context, duration_s):
    context.numbers = []
    for _ in range(duration_s):
        for entry in context.entries.values():
            entry.acquire_or_renew()
            if entry.number() is not None:
                context.numbers.append(entry.number())
        context.sim_time['now_s'] += 1.0


@behave.then('"{holder}" holds the order lease and "{other}" does not')
def holds(context, holder, other):
    context.entries[other].acquire_or_renew()
    assert context.entries[holder].number() is not None
    assert context.entries[other].number() is None


@behave.then('fencing numbers only increased')
def numbers_increased(context):
    assert context.numbers == sorted(context.numbers)
    assert len(set(context.numbers)) > 3, context.numbers


@behave.when('"{name}" acquires the lease and dies')
def acquires_and_dies(context, name):
    context.entries[name].acquire_or_renew()
    assert context.entries[name].number() is not None
    context.entries[name].paused = True


@behave.when('"{name}" acquires and releases the lease')
def acquires_and_releases(context, name):
    context.entries[name].acquire_or_renew()
    _run(context.entries[name].lease.release())
    assert context.entries[name].number() is None


@behave.then(
    '"{name}" acquires the order lease between {low:f} and {high:f} s later'
)
def acquires_between(context, name, low, high):
    started_s = context.sim_time['now_s']
    while context.entries[name].number() is None:
        context.entries[name].acquire_or_renew()
        if context.entries[name].number() is None:
            context.sim_time['now_s'] += 1.0
        assert context.sim_time['now_s'] < 60
    waited_s = context.sim_time['now_s'] - started_s
    assert low <= waited_s <= high, waited_s


@behave.when(
    'lease write answers are lost and "{name}" tries to acquire the lease'
)
def answers_lost(context, name):
    context.store.lose_answers = True
    context.entries[name].acquire_or_renew()


@behave.then('without the read-back "{name}" does not hold it')
def without_read_back(context, name):
    table = variants.MemoryTable()
    table.lose_answers = True
    entry = _Entry(
        name, table, context.sim_time, kind=variants.WithoutReadBack
    )
    entry.acquire_or_renew()
    assert table.writes == 1
    assert entry.number() is None


@behave.when(
    '"{name}" acquires the lease and is paused while "{other}" takes over'
)
def paused_while(context, name, other):
    without_check = _Entry(
        name,
        context.store,
        context.sim_time,
        kind=variants.WithoutDeadlineCheck,
    )
    without_check.acquire_or_renew()
    context.without_check = without_check
    held = context.entries[name]
    held.lease._held = without_check.lease._held
    assert held.number() is not None
    acquires_between(context, other, 12.0, 14.0)
    context.holder = held
    context.newest = context.entries[other].number()


@behave.then('the paused holder gets no fencing number')
def paused_gets_none(context):
    assert context.holder.number() is None


@behave.then('without the deadline check it gets an old one')
def without_check_gets_old(context):
    number = context.without_check.number()
    assert number is not None
    assert number < context.newest, (number, context.newest)


@behave.when('"{name}" acquires the lease and the table service goes down')
def store_down(context, name):
    context.entries[name].acquire_or_renew()
    context.store.down = True
    context.holder = context.entries[name]


@behave.then('"{name}" has a fencing number for {limit_s:f} s and none after')
def has_number_for(context, name, limit_s):
    held_s = 0.0
    for tenth in range(300):
        context.sim_time['now_s'] = tenth / 10
        context.entries[name].acquire_or_renew()
        if context.entries[name].number() is not None:
            held_s = tenth / 10
    assert limit_s - 0.2 <= held_s < limit_s, held_s


_STEPS = strategies.lists(
    strategies.sampled_from(
        ('run', 'run', 'pause a', 'pause b', 'resume', 'down', 'up', 'lose')
    ),
    min_size=4,
    max_size=14,
)


def _apply(step, entries, table):
    match step:
        case 'pause a':
            entries[0].paused = True
        case 'pause b':
            entries[1].paused = True
        case 'resume':
            for entry in entries:
                entry.paused = False
        case 'down':
            table.down = True
        case 'up':
            table.down = False
            table.lose_answers = False
        case 'lose':
            table.lose_answers = True


def _overlaps(kind, rates, steps):
    sim_time = {'now_s': 0.0}
    table = variants.MemoryTable()
    entries = [
        _Entry(name, table, sim_time, rate, kind)
        for name, rate in zip('ab', rates)
    ]
    for step in steps:
        _apply(step, entries, table)
        for _ in range(14):
            sim_time['now_s'] += 0.5
            # An entry that was just resumed may send before it renews.
            if all(entry.number() is not None for entry in entries):
                return True
            for entry in entries:
                entry.acquire_or_renew()
    return False


@behave.then(
    'under generated faults two holders of {variant} overlap: {overlap}'
)
def holders_overlap(context, variant, overlap):
    rates = strategies.sampled_from((0.91, 1.0, 1.09))
    seen = []

    @hypothesis.settings(
        derandomize=True, max_examples=300, deadline=None, database=None
    )
    @hypothesis.given(strategies.tuples(rates, rates), _STEPS)
    def check(pair, steps):
        seen.append(_overlaps(_LEASES[variant], pair, steps))

    check()
    assert any(seen) is (overlap == 'yes'), sum(seen)


class _Engine:
    """Engine that accepts orders, with or without a check of their numbers."""

    def __init__(self, sim_time):
        self._sim_time = sim_time
        self.version = 'v1'
        self.state = 'live'
        self.newest = 0
        self.accepted = []
        self.lose_answer = False
        self.load_takes_s = 0.0

    async def load(self, endpoint):
        """Return the load report."""
        self._sim_time['now_s'] += self.load_takes_s
        return engine_port.LoadReport(0, 0, self.state, self.version, 0.0)

    async def order(self, endpoint, order):
        """Accept an order unless numbers are checked and its number is old."""
        if endpoint.checks_fencing and order.fencing_number < self.newest:
            return engine_port.OrderRefused(self.newest)
        self.newest = max(self.newest, order.fencing_number)
        self.version = order.version
        self.accepted.append(order)
        if self.lose_answer:
            self.lose_answer = False
            return engine_port.OrderUnknown('answer lost')
        return engine_port.OrderAccepted()


def _wanted(context, version):
    state = reconciler.WantedState('sum', version, '', 'both')
    context.reconciler.set_wanted([(context.endpoint, state)])


@behave.given(
    'an order reconciler with an endpoint that {checks} fencing numbers'
)
def order_reconciler(context, checks):
    context.sim_time = {'now_s': 0.0}
    context.endpoint = endpoint_model.Endpoint(
        'e1', '127.0.0.1:1', 'fd-1', 'summaries', 'v1', checks == 'checks'
    )
    _build_reconciler(context, lease.FencingLease)


def _build_reconciler(context, kind):
    context.engine = _Engine(context.sim_time)
    context.store = variants.MemoryTable()
    context.holder = _Entry('a', context.store, context.sim_time, kind=kind)
    # Earlier lease terms have used up the first fencing numbers.
    for _ in range(3):
        context.holder.acquire_or_renew()
        context.sim_time['now_s'] += 6.0
    context.holder.acquire_or_renew()
    context.reconciler = reconciler.OrderReconciler(
        context.engine, context.holder.lease, _EntryClock(context.sim_time)
    )
    _wanted(context, 'v2')


def _reconcile(context, count):
    context.results = [
        _run(context.reconciler.reconcile('e1')) for _ in range(count)
    ]


@behave.when('it is reconciled {count:d} times')
def reconcile_times(context, count):
    _reconcile(context, count)


@behave.when('{seconds:d} s pass and it is reconciled {count:d} times')
def reconcile_later(context, seconds, count):
    context.sim_time['now_s'] += seconds
    context.holder.acquire_or_renew()
    _reconcile(context, count)


@behave.when('the wanted version becomes "{version}"')
def wanted_becomes(context, version):
    _wanted(context, version)


@behave.when('the endpoint falls back to "{version}"')
def falls_back(context, version):
    context.engine.version = version


@behave.when(
    'an order for "{version}" with an old fencing number arrives late'
)
def late_order(context, version):
    order = engine_port.EndpointOrder('sum', version, '', 'both', 1)
    _run(context.engine.order(context.endpoint, order))


@behave.when('the answer to the order is lost')
def order_answer_lost(context):
    context.engine.lose_answer = True


@behave.when('the endpoint has seen fencing number {number:d}')
def has_seen(context, number):
    context.engine.newest = number


@behave.when('the endpoint reports that it is leaving')
def reports_leaving(context):
    context.engine.state = 'leaving'


@behave.when('reading the load report takes {seconds:d} s')
def slow_report(context, seconds):
    context.engine.load_takes_s = float(seconds)


@behave.when('the lease is lost and acquired again')
def lease_acquired_again(context):
    context.holder.lease.invalidate()
    while context.holder.number() is None:
        context.sim_time['now_s'] += 1.0
        context.holder.acquire_or_renew()


@behave.then('the endpoint accepted {count:d} orders and runs "{version}"')
def accepted_and_runs(context, count, version):
    assert len(context.engine.accepted) == count, context.engine.accepted
    assert context.engine.version == version, context.engine.version


@behave.then('the endpoint runs "{version}"')
def endpoint_runs(context, version):
    assert context.engine.version == version, context.engine.version


@behave.then('the reconciler no longer holds the lease')
def no_longer_holder(context):
    assert context.results[-1] is reconciler.ReconcileResult.NOT_HOLDER
    assert context.holder.number() is None


@behave.then('without the lease check the endpoint accepted {count:d} orders')
def orders_without_check(context, count):
    load_takes_s = context.engine.load_takes_s
    _build_reconciler(context, variants.WithoutDeadlineCheck)
    context.engine.load_takes_s = load_takes_s
    _reconcile(context, 1)
    assert len(context.engine.accepted) == count, context.engine.accepted
