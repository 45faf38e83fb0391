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
    'an impatient lease': variants.ImpatientLease,
    'an unchecked lease': variants.UncheckedLease,
}


def _run(coroutine):
    """Run a coroutine that never waits; much faster than a new loop."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError('the coroutine waits')


class _EntryClock:
    """Clock of one entry over a shared true time."""

    def __init__(self, truth, rate=1.0):
        self._truth = truth
        self._rate = rate

    def monotonic_s(self):
        """Return this entry's monotonic seconds."""
        return 500 + self._truth['now_s'] * self._rate

    def wall_s(self):
        """Return a wall time, which the lease must not need."""
        raise AssertionError('wall clock read')


class _Entry:
    """One entry that steps its lease."""

    def __init__(self, name, table, truth, rate=1.0, kind=lease.FencingLease):
        self.name = name
        nonces = (f'{name}-{number}' for number in itertools.count())
        self.lease = kind(
            table,
            'summaries',
            name,
            _EntryClock(truth, rate),
            nonces.__next__,
        )
        self.paused = False

    def step(self):
        """Step the lease unless this entry is paused."""
        if not self.paused:
            _run(self.lease.acquire_or_renew())

    def number(self):
        """Return the fencing number if an order would go out."""
        return None if self.paused else self.lease.fencing_number()


@behave.given('entries "{names}" that want the order lease')
def lease_entries(context, names):
    context.truth = {'now_s': 0.0}
    context.store = variants.MemoryTable()
    context.entries = {
        name: _Entry(name, context.store, context.truth)
        for name in names.split(', ')
    }


@behave.when('both step for {duration_s:d} s')
def both_step(context, duration_s):
    context.numbers = []
    for _ in range(duration_s):
        for entry in context.entries.values():
            entry.step()
            if entry.number() is not None:
                context.numbers.append(entry.number())
        context.truth['now_s'] += 1.0


@behave.then('"{holder}" holds the order lease and "{other}" does not')
def holds(context, holder, other):
    context.entries[other].step()
    assert context.entries[holder].number() is not None
    assert context.entries[other].number() is None


@behave.then('fencing numbers only grew')
def numbers_grew(context):
    assert context.numbers == sorted(context.numbers)
    assert len(set(context.numbers)) > 3, context.numbers


@behave.when('"{name}" steps once and ends')
def steps_and_ends(context, name):
    context.entries[name].step()
    assert context.entries[name].number() is not None
    context.entries[name].paused = True


@behave.when('"{name}" steps once and releases the lease')
def steps_and_releases(context, name):
    context.entries[name].step()
    _run(context.entries[name].lease.release())
    assert context.entries[name].number() is None


@behave.then(
    '"{name}" takes the order lease between {low:f} and {high:f} s later'
)
def takes_between(context, name, low, high):
    started_s = context.truth['now_s']
    while context.entries[name].number() is None:
        context.entries[name].step()
        if context.entries[name].number() is None:
            context.truth['now_s'] += 1.0
        assert context.truth['now_s'] < 60
    waited_s = context.truth['now_s'] - started_s
    assert low <= waited_s <= high, waited_s


@behave.when('the answers to lease writes are lost and "{name}" steps once')
def answers_lost(context, name):
    context.store.lose_answers = True
    context.entries[name].step()


@behave.then('without the read-back "{name}" does not hold it')
def without_read_back(context, name):
    table = variants.MemoryTable()
    table.lose_answers = True
    entry = _Entry(name, table, context.truth, kind=variants.WithoutReadBack)
    entry.step()
    assert table.writes == 1
    assert entry.number() is None


@behave.when('"{name}" steps once and is paused while "{other}" takes over')
def paused_while(context, name, other):
    unchecked = _Entry(
        name, context.store, context.truth, kind=variants.UncheckedLease
    )
    unchecked.step()
    context.unchecked = unchecked
    held = context.entries[name]
    held.lease._held = unchecked.lease._held
    assert held.number() is not None
    takes_between(context, other, 12.0, 14.0)
    context.holder = held
    context.newest = context.entries[other].number()


@behave.then('the paused holder gets no fencing number')
def paused_gets_none(context):
    assert context.holder.number() is None


@behave.then('without the deadline check it gets an old one')
def unchecked_gets_old(context):
    number = context.unchecked.number()
    assert number is not None
    assert number < context.newest, (number, context.newest)


@behave.when('"{name}" steps once and the table service goes down')
def store_down(context, name):
    context.entries[name].step()
    context.store.down = True
    context.holder = context.entries[name]


@behave.then('"{name}" has a fencing number for {limit_s:f} s and none after')
def has_number_for(context, name, limit_s):
    held_s = 0.0
    for tenth in range(300):
        context.truth['now_s'] = tenth / 10
        context.entries[name].step()
        if context.entries[name].number() is not None:
            held_s = tenth / 10
    assert limit_s - 0.2 <= held_s < limit_s, held_s


_STEPS = strategies.lists(
    strategies.sampled_from(
        ('run', 'run', 'pause a', 'pause b', 'wake', 'down', 'up', 'lose')
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
        case 'wake':
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
    truth = {'now_s': 0.0}
    table = variants.MemoryTable()
    entries = [
        _Entry(name, table, truth, rate, kind)
        for name, rate in zip('ab', rates)
    ]
    for step in steps:
        _apply(step, entries, table)
        for _ in range(14):
            truth['now_s'] += 0.5
            # An entry that was just woken may send before it steps.
            if all(entry.number() is not None for entry in entries):
                return True
            for entry in entries:
                entry.step()
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
    """Engine that takes orders, with or without a check of numbers."""

    def __init__(self, truth):
        self._truth = truth
        self.version = 'v1'
        self.state = 'live'
        self.newest = 0
        self.taken = []
        self.lose_answer = False
        self.load_takes_s = 0.0

    async def load(self, endpoint):
        """Return the load report."""
        self._truth['now_s'] += self.load_takes_s
        return engine_port.LoadReport(0, 0, self.state, self.version, 0.0)

    async def order(self, endpoint, order):
        """Take an order unless its number is old and numbers count."""
        if endpoint.checks_fencing and order.fencing_number < self.newest:
            return engine_port.OrderRefused(self.newest)
        self.newest = max(self.newest, order.fencing_number)
        self.version = order.version
        self.taken.append(order)
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
    context.truth = {'now_s': 0.0}
    context.endpoint = endpoint_model.Endpoint(
        'e1', '127.0.0.1:1', 'fd-1', 'summaries', 'v1', checks == 'checks'
    )
    _build_reconciler(context, lease.FencingLease)


def _build_reconciler(context, kind):
    context.engine = _Engine(context.truth)
    context.store = variants.MemoryTable()
    context.holder = _Entry('a', context.store, context.truth, kind=kind)
    # Earlier holders have left numbers behind.
    for _ in range(3):
        context.holder.step()
        context.truth['now_s'] += 6.0
    context.holder.step()
    context.reconciler = reconciler.OrderReconciler(
        context.engine, context.holder.lease, _EntryClock(context.truth)
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
    context.truth['now_s'] += seconds
    context.holder.step()
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


@behave.when('the lease is lost and taken again')
def lease_taken_again(context):
    context.holder.lease.invalidate()
    while context.holder.number() is None:
        context.truth['now_s'] += 1.0
        context.holder.step()


@behave.then('the endpoint took {count:d} orders and runs "{version}"')
def took_and_runs(context, count, version):
    assert len(context.engine.taken) == count, context.engine.taken
    assert context.engine.version == version, context.engine.version


@behave.then('the endpoint runs "{version}"')
def endpoint_runs(context, version):
    assert context.engine.version == version, context.engine.version


@behave.then('the reconciler no longer holds the lease')
def no_longer_holder(context):
    assert context.results[-1] is reconciler.ReconcileResult.NOT_HOLDER
    assert context.holder.number() is None


@behave.then('without the lease check the endpoint took {count:d} orders')
def unchecked_orders(context, count):
    load_takes_s = context.engine.load_takes_s
    _build_reconciler(context, variants.UncheckedLease)
    context.engine.load_takes_s = load_takes_s
    _reconcile(context, 1)
    assert len(context.engine.taken) == count, context.engine.taken
