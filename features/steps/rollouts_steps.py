"""Steps for roll-outs."""

from __future__ import annotations

import asyncio
import time

import behave
from features.models import rollout_simulation as simulation
from godwitvalve.fleet import endpoints
from godwitvalve.platform import rollouts as wire_rollouts
from godwitvalve.platform import store as stores
from godwitvalve.rollouts import orders
from godwitvalve.rollouts import registry
from godwitvalve.rollouts import status_writer

SIZES = {
    'low-traffic': simulation.LOW_TRAFFIC,
    'plain': simulation.PLAIN,
    'short plain': simulation.SHORT_PLAIN,
    'large': simulation.LARGE,
    'large plain': simulation.LARGE_PLAIN,
}
CASES = {
    'is healthy': simulation.Case(),
    'fails like the old one': simulation.Case(usual_failures=0.1),
    'fails from the start': simulation.Case(failures=0.4),
    'is slow from the start': simulation.Case(slower=8.0),
    'fails after a while': simulation.Case(failures=0.4, from_s=3.0),
    'fails at the end': simulation.Case(failures=0.1, from_s=14.0),
    'fails under load': simulation.Case(
        usual_failures=0.045, failures=0.5, from_running=2
    ),
    'fails on one route': simulation.Case(failures=0.5, route='b'),
}
LISTED = [
    endpoints.FleetEndpoint(version, 's', 'x:1', 'fd', version, 8, False, 1)
    for version in ('v1', 'v2')
]
ORDER = orders.RolloutOrder('s', 'v2', 15.0, 7)


@behave.when(
    '{count:d} roll-outs of a {size} service run in which the version {case}'
)
def run_rollouts(context, count, size, case):
    context.results = simulation.simulate(SIZES[size], CASES[case], count)


@behave.when(
    '{count:d} naive roll-outs of a {size} service run in which the '
    'version {case}'
)
def run_naive(context, count, size, case):
    context.results = simulation.simulate(
        SIZES[size], CASES[case], count, naive=True
    )


def _exceeding(context):
    return [
        (each.sent_new, each.allowed)
        for each in context.results
        if each.sent_new > each.allowed
    ]


@behave.then('none of them exceeds the allowed exposure')
def none_exceeds(context):
    assert not _exceeding(context), _exceeding(context)


@behave.then('all of them exceed the allowed exposure')
def all_exceed(context):
    assert len(_exceeding(context)) == len(context.results)


@behave.then('at least {least:d} of them are rolled back in time')
def rolled_back(context, least):
    found = [each.rolled_back_s for each in context.results]
    assert sum(each is not None for each in found) >= least, found


@behave.then('at least {least:d} of them are completed in time')
def completed(context, least):
    found = [each.completed_s for each in context.results]
    assert sum(each is not None for each in found) >= least, found


def _registry():
    return registry.RolloutRegistry(simulation.LIMITS)


@behave.given('a roll-out that entry "a" rolls back')
def roll_back_at(context):
    context.registries = {'a': _registry(), 'b': _registry()}
    found = context.registries['a'].add_order(ORDER, 0.0)
    found.is_stored = True
    found.review(LISTED, 0.0, 14.0)
    context.old_report = context.registries['a'].reports(0.0)[0]
    assert _new_share(context.registries['a']) > 0
    found.advance(orders.RolloutState.DOUBTED, 'test')


def _new_share(rollouts):
    draws = [number / 10 for number in range(10)]
    return sum(
        each.version == 'v2'
        for draw in draws
        for each in rollouts.choose('s', LISTED, draw)
    )


@behave.when('entry "b" receives its report')
def receive(context):
    report = context.registries['a'].reports(15.0)[0]
    assert context.registries['b'].apply_report(('a', 1), report, 15.0, 0.1)


@behave.when('entry "a" receives an old report of a running roll-out')
def receive_old(context):
    assert not context.registries['a'].apply_report(
        ('b', 1), context.old_report, 15.0, 0.1
    )


@behave.then('"{name}" sends nothing to the new version')
def sends_nothing(context, name):
    rollouts = context.registries[name]
    (found,) = rollouts.all()
    found.review(LISTED, 0.0, 15.0)
    assert not _new_share(rollouts)
    assert not rollouts.allows(LISTED[1])


@behave.when('the operator orders the version again')
def order_again(context):
    found = context.registries['a'].add_order(
        ORDER._replace(row_version=9), 20.0
    )
    found.is_stored = True
    found.review(LISTED, 0.0, 34.0)


@behave.then('"a" may send to the new version')
def may_send(context):
    assert _new_share(context.registries['a']) > 0


@behave.when('the only version is ordered and {count:d} requests are sent')
def only_version(context, count):
    rollouts = _registry()
    found = rollouts.add_order(ORDER, 0.0)
    found.is_stored = True
    context.chosen = []
    for number in range(count):
        found.review(LISTED[1:], 0.0, number / 100)
        context.chosen.append(rollouts.choose('s', LISTED[1:], 0.5))
        found.own_counts.sent += 1
        found.own_counts.sent_new += 1


@behave.then('all of them have an endpoint')
def all_had_endpoint(context):
    assert all(context.chosen)


class MemoryStore:
    """Rows of one table; the answer of the next write may be lost."""

    def __init__(self):
        self.version = 1
        self.rows_by_key = {}
        self.order_rows = []
        self.lose_next_answer = False
        self.now_ms = 1000

    async def rows(self, table):
        await asyncio.sleep(0)
        found = (
            list(self.rows_by_key.values())
            if table == wire_rollouts.STATUS_TABLE
            else self.order_rows
        )
        return stores.RowsAnswer(found, self.version, False, self.now_ms)

    async def write_if(
        self, table, key, value, expected_version, expected_era=None
    ):
        await asyncio.sleep(0)
        known = self.rows_by_key.get(key)
        if (known.version if known else 0) != expected_version:
            return False
        self.version += 1
        self.rows_by_key[key] = stores.StoredRow(key, self.version, value)
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise stores.StoreUnavailable('answer lost')
        return True

    def state(self):
        (row,) = self.rows_by_key.values()
        return wire_rollouts.decode_status(row.value, row.version).state


class Entry:
    """Registry and status writer of one entry at a store."""

    def __init__(self, store):
        self.registry = _registry()
        self.rollout = self.registry.add_order(ORDER, time.monotonic())
        self._writer = status_writer.StatusWriter(
            store, self.registry, lambda: 0, lambda: None
        )

    async def synchronise(self):
        if self.rollout.pending_state() is not None:
            await self._writer._synchronise(self.rollout)

    def set_pending(self, state):
        if state is orders.RolloutState.COMPLETED:
            # A healthy version shortly before the end of the roll-out.
            self.rollout.began_s -= 14.5
            self.rollout.review(LISTED, 0.0, time.monotonic())
        else:
            self.rollout.advance(orders.RolloutState.DOUBTED, 'test')


@behave.given('a store with a running roll-out')
def running(context):
    context.store = MemoryStore()
    context.entries = [Entry(context.store) for _ in range(2)]
    for each in context.entries:
        asyncio.run(each.synchronise())
    assert context.store.state() is orders.RolloutState.RUNNING


def _synchronise_all(context):
    async def run():
        await asyncio.gather(*(each.synchronise() for each in context.entries))

    asyncio.run(run())


@behave.when('one entry completes it while another rolls it back')
def race(context):
    context.entries[0].set_pending(orders.RolloutState.COMPLETED)
    context.entries[1].set_pending(orders.RolloutState.TAKEN_BACK)
    assert context.entries[0].rollout.pending_state() is not None
    _synchronise_all(context)


@behave.when('an entry completes it and the answer is lost')
def lose_answer(context):
    context.entries[0].set_pending(orders.RolloutState.COMPLETED)
    context.store.lose_next_answer = True
    asyncio.run(context.entries[0].synchronise())
    assert context.entries[0].rollout.state is orders.RolloutState.RUNNING


@behave.when('another entry decides to roll it back')
def other_rolls_back(context):
    context.entries[1].set_pending(orders.RolloutState.TAKEN_BACK)


@behave.then('the store holds one final state and both entries adopt it')
def one_final_state(context):
    _synchronise_all(context)
    held = context.store.state()
    assert held.is_final
    assert {each.rollout.state for each in context.entries} == {held}


@behave.then('the store holds "completed" and both entries adopt it')
def stored_completed(context):
    one_final_state(context)
    assert context.store.state() is orders.RolloutState.COMPLETED


@behave.when('the status is that of an order whose row has a greater version')
def newer_status(context):
    newer = ORDER._replace(version='v3', row_version=ORDER.row_version + 4)
    running = orders.RolloutState.RUNNING
    key = wire_rollouts.status_key(ORDER.service)
    content = wire_rollouts.encode_status(newer, running, 1000)
    context.store.version += 1
    context.store.rows_by_key[key] = stores.StoredRow(
        key, context.store.version, content
    )


@behave.when("the store lists {which}'s order")
@behave.when('the store lists the {which} order')
def store_lists(context, which):
    offset = 4 if which == 'newer' else 0
    context.store.order_rows = [
        stores.StoredRow('rollout/s', ORDER.row_version + offset, b'{}')
    ]


@behave.when('an entry rolls back the roll-out')
def entry_rolls_back(context):
    context.entries[0].set_pending(orders.RolloutState.TAKEN_BACK)
    asyncio.run(context.entries[0].synchronise())


@behave.then('the status is that of the {whose}')
def status_is_of(context, whose):
    (row,) = context.store.rows_by_key.values()
    found = wire_rollouts.decode_status(row.value, row.version)
    assert (found.version == 'v3') == (whose == 'newer order'), found


@behave.when('an entry without any state starts {span_s:d} s later')
def start_later(context, span_s):
    context.store.now_ms += span_s * 1000
    context.late = Entry(context.store)
    asyncio.run(context.late.synchronise())


@behave.then('the roll-out is {span_s:d} s old at this entry')
def elapsed_at(context, span_s):
    elapsed_s = context.late.rollout.elapsed_s(time.monotonic())
    assert span_s <= elapsed_s < span_s + 0.5, elapsed_s
    assert context.late.rollout.is_stored


@behave.then('rows that are not valid orders or statuses are rejected')
def reject_invalid(context):
    rows = (b'7', b'{', b'{"service": "s"}', b'{"state": "?", "to": "v"}')
    for row in rows:
        for decode in (
            wire_rollouts.decode_order,
            wire_rollouts.decode_status,
        ):
            try:
                decode(row, 1)
            except wire_rollouts.InvalidRollout:
                continue
            raise AssertionError(row)


@behave.then('the order {content} is rejected')
def reject_order(context, content):
    try:
        found = wire_rollouts.decode_order(content.encode(), 1)
    except wire_rollouts.InvalidRollout:
        return
    raise AssertionError(found)


STATES_BY_NAME = {
    'running': orders.RolloutState.RUNNING,
    'completed': orders.RolloutState.COMPLETED,
    'rolled back': orders.RolloutState.TAKEN_BACK,
}


@behave.given(
    'a {state} roll-out whose order has row version {row_version:d} of era '
    '{era:d}'
)
def rollout_before_restore(context, state, row_version, era):
    context.registry = _registry()
    context.registry.mark_store_restored(era, 0.0)
    context.order = ORDER._replace(row_version=row_version, era=era)
    context.rollout = context.registry.add_order(context.order, 0.0)
    context.rollout.is_stored = True
    context.rollout.advance(STATES_BY_NAME[state], 'test')
    assert context.rollout.pending_state() is None


@behave.when('the store is restored to era {era:d} and its order is {case}')
def restored_with_order(context, era, case):
    context.registry.mark_store_restored(era, 0.0)
    copied = context.order
    match case.split():
        case ['in', 'the', 'copy']:
            context.registry.add_order(copied, 1.0, True)
        case ['written', 'before', *_]:
            early = copied._replace(row_version=12)
            context.registry.add_order(early, 1.0, True)
        case [*_, row_version]:
            written = copied._replace(row_version=int(row_version), era=era)
            context.registry.add_order(written, 1.0)


@behave.when(
    'the store is restored to era {era:d} and the same move is ordered '
    '{after_s:d} s later'
)
def ordered_again(context, era, after_s):
    context.registry.mark_store_restored(era, 0.0)
    context.registry.add_order(context.order, 0.0, True)
    ordered = context.order._replace(row_version=90, era=era)
    context.registry.add_order(ordered, float(after_s))


@behave.when('an entry with five others before it sees a return of the store')
def return_at_sixth_entry(context):
    writer = status_writer.StatusWriter(
        None, context.registry, lambda: 5, lambda: None
    )
    context.rollout.is_stored = False
    context.was_due = writer._is_due(context.rollout, 0.0)
    context.rollout.is_stored = True
    context.registry.mark_store_restored(2, 20.0)
    context.writer = writer


@behave.then(
    'it is due to store the state {delay_s:d} s later but not at once'
)
def due_later(context, delay_s):
    assert not context.was_due
    assert not context.writer._is_due(context.rollout, 20.0)
    assert context.writer._is_due(context.rollout, 20.0 + delay_s)


@behave.then('the roll-out has begun anew')
def begun_anew(context):
    (found,) = context.registry.all()
    assert found is not context.rollout
    assert found.state is orders.RolloutState.RUNNING, found.state


@behave.when('the store is restored to era {era:d} and holds an earlier order')
def restored_with_earlier_order(context, era):
    context.registry.mark_store_restored(era, 0.0)
    earlier = context.order._replace(version='v1', row_version=11)
    context.registry.add_order(earlier, 1.0, True)


@behave.when(
    'the store is restored to era {era:d} and another version is ordered as '
    'row version {row_version:d}'
)
def other_version_ordered(context, era, row_version):
    context.registry.mark_store_restored(era, 0.0)
    ordered = orders.RolloutOrder('s', 'v3', 15.0, row_version, era)
    context.registry.add_order(ordered, 1.0)


@behave.when('another entry reports a status that was stored in era {era:d}')
def reported_status(context, era):
    other = _registry()
    other.mark_store_restored(era, 0.0)
    found = other.add_order(context.order, 0.0)
    found.is_stored = True
    found.advance(context.rollout.state, 'test')
    context.registry.apply_report(
        ('other', 1), other.reports(0.0)[0], 1.0, 0.0
    )


@behave.then(
    'the roll-out is still {state} and its status is to be stored again'
)
def still_in_state(context, state):
    (found,) = context.registry.all()
    assert found is context.rollout
    assert found.state is STATES_BY_NAME[state], found.state
    assert found.pending_state() is found.state, found.pending_state()


@behave.then('no status is to be stored')
def nothing_pending(context):
    assert context.rollout.pending_state() is None


@behave.then('the roll-out of the other version is running')
def other_version_runs(context):
    (found,) = context.registry.all()
    assert found.order.version == 'v3'
    assert found.state is orders.RolloutState.RUNNING
