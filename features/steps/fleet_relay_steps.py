"""Steps for tables that entries relay to each other."""

from __future__ import annotations

import asyncio
import itertools
import time

from aiohttp import test_utils
import behave
from godwitvalve.fleet import consumers
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import follower
from godwitvalve.fleet import registry
from godwitvalve.fleet import relay
from godwitvalve.fleet import sources
from godwitvalve.fleet import state as states
from godwitvalve.gossip import members
from godwitvalve.ingress import peer_tables
from godwitvalve.platform import store as stores


def _record(name):
    return members.Record(
        name,
        1,
        1,
        members.SERVING,
        'x:1',
        'x:2',
        name.partition('-')[0],
        1,
    )


@behave.given('{count:d} live entries in the failure domains "{names}"')
def live_entries(context, count, names):
    domains = itertools.cycle(names.split(', '))
    context.records = [
        _record(f'{next(domains)}-{number // len(names.split(", "))}')
        for number in range(count)
    ]
    context.chosen = {
        each.instance_id: _selector(each).choose(_others(context, each), 0.0)
        for each in context.records
    }


@behave.then(
    '{count:d} of them wait at most {short_s:g} s for configurations and the '
    'others {long_s:g} s'
)
def configuration_waits(context, count, short_s, long_s):
    waits = [
        peer_tables.PeerSources(
            None,
            _selector(each),
            lambda each=each: _others(context, each),
            1,
            {'op': short_s},
        ).wait_s('op')
        for each in context.records
    ]
    assert sorted(waits) == [short_s] * count + [long_s] * (
        len(waits) - count
    ), waits


def _selector(record):
    return sources.SourceSelector(record.instance_id, record.failure_domain)


def _others(context, record):
    return [each for each in context.records if each is not record]


@behave.then(
    '{count:d} of them read the store and the others one of their own domain'
)
def read_store(context, count):
    at_store = [each for each, found in context.chosen.items() if not found]
    assert len(at_store) == count, at_store
    for record in context.records:
        others = _others(context, record)
        is_reader = _selector(record).reads_store(others)
        if len(others) >= members.DIRECT_MEMBERS:
            assert is_reader == (record.instance_id in at_store)
    for name, found in context.chosen.items():
        if found is not None:
            assert found.failure_domain == name.partition('-')[0]
            assert context.chosen[found.instance_id] is None


@behave.when('all sources of the entry "{name}" fail one after the other')
def sources_fail(context, name):
    own = next(each for each in context.records if each.instance_id == name)
    selector = _selector(own)
    context.sources_read = []
    while found := selector.choose(_others(context, own), 1.0):
        context.sources_read.append(found.failure_domain)
        selector.mark_failed(found.instance_id, 1.0)


@behave.then(
    '"{name}" read from one of each failure domain and then the store'
)
def read_from_each(context, name):
    assert context.sources_read[0] == name.partition('-')[0]
    assert sorted(context.sources_read) == ['a', 'b', 'c', 'd']


def _rows(text, version):
    return [
        stores.StoredRow(key, version, value.encode())
        for key, _, value in (
            each.partition('=') for each in text.split(', ') if each
        )
    ]


def _update(context, rows, version, is_complete):
    answer = sources.TableAnswer(rows, version, time.monotonic())
    asyncio.run(context.relay.update(answer, is_complete))


@behave.given('a relay that read "{text}" at version {version:d}')
def relay_read(context, text, version):
    context.relay = relay.TableRelay()
    _update(context, _rows(text, version), version, True)


@behave.given('a relay that has read nothing')
def empty_relay(context):
    context.relay = relay.TableRelay()


@behave.then('readers with and without a version get status {status:d}')
def readers_get_status(context, status):
    server = peer_tables.RelayServer({'servers': context.relay})
    for query in ('?table=servers', '?table=servers&after=0&wait_ms=0'):
        request = test_utils.make_mocked_request(
            'GET', peer_tables.TABLE_PATH + query
        )
        answer = asyncio.run(server.handle(request))
        assert answer.status == status, answer.status


@behave.when(
    'it receives "{text}" and the removal of "{key}" at version {to:d}'
)
def relay_receives(context, text, key, to):
    removed = stores.StoredRow(key, to, None)
    _update(context, [*_rows(text, to - 1), removed], to, False)


def _text(rows):
    return ', '.join(
        f'{row.key} removed'
        if row.value is None
        else f'{row.key}={row.value.decode()}'
        for row in rows
    )


@behave.then('a reader at version {version:d} gets "{text}"')
@behave.then('a reader at version {version:d} gets ""')
def reader_gets(context, version, text=''):
    after = stores.StoreRevision(0, version)
    assert _text(context.relay.since(after).rows) == text


@behave.then('a reader without a version gets "{text}"')
def reader_gets_all(context, text):
    assert _text(context.relay.snapshot().rows) == text


@behave.then('a reader at version {version:d} must read the whole table again')
def must_read_again(context, version):
    try:
        context.relay.since(stores.StoreRevision(0, version))
    except stores.HistoryExpired:
        return
    raise AssertionError('changes were returned')


@behave.when('its store does not answer for {span_s:d} s')
def store_unresponsive(context, span_s):
    context.now_s = time.monotonic() + span_s


@behave.then(
    'a reader at version {version:d} gets an answer at once that shows its age'
)
def answer_at_once(context, version):
    began_s = time.monotonic()
    after = stores.StoreRevision(0, version)
    answer = asyncio.run(context.relay.changes(after, 1.0, context.now_s))
    assert time.monotonic() - began_s < 0.5
    assert context.now_s - answer.confirmed_s >= 2.0


class _Source:
    """Returns one change per call up to a version, then fails."""

    def __init__(self, last):
        self.last = last

    async def rows(self, table):
        await asyncio.sleep(0)
        return self._answer(10)

    async def changes(self, table, after, wait_s):
        await asyncio.sleep(0)
        if after.version >= self.last:
            raise stores.StoreUnavailable('frozen')
        return self._answer(after.version + 1)

    @staticmethod
    def _answer(version):
        row = stores.StoredRow(f'k{version}', version, b'')
        return sources.TableAnswer([row], version, time.monotonic())


class _Sources:
    def __init__(self):
        self.remaining = [('first', _Source(11)), ('second', _Source(14))]

    def choose(self):
        if not self.remaining:
            raise asyncio.CancelledError
        name, source = self.remaining[0]
        return source, name

    def wait_s(self, table):
        return 0.0

    def mark_failed(self, instance_id):
        self.remaining.pop(0)


class _FailingStore:
    """Records the waits; the first call for changes fails."""

    def __init__(self):
        self.waits_s = []

    async def rows(self, table):
        return sources.TableAnswer([], 10, time.monotonic())

    async def changes(self, table, after, wait_s):
        self.waits_s.append(wait_s)
        if len(self.waits_s) == 1:
            raise stores.StoreUnavailable('down')
        if len(self.waits_s) > 3:
            raise asyncio.CancelledError
        return sources.TableAnswer([], 10, time.monotonic())

    def choose(self):
        return self, ''

    def wait_s(self, table):
        return 8.0

    def mark_failed(self, instance_id):
        raise AssertionError('no entry was asked')


@behave.given('a follower whose store fails once')
def following_failing_store(context):
    context.store = _FailingStore()
    table_follower = follower.TableFollower(
        context.store,
        'servers',
        consumers.EndpointConsumer(states.FleetState(), lambda _: None),
        relay.TableRelay(),
    )
    try:
        asyncio.run(table_follower.run())
    except asyncio.CancelledError:
        return


@behave.then(
    'its next call does not wait for changes and the one after it does'
)
def waits_after_outage(context):
    assert context.store.waits_s[:3] == [8.0, 0.0, 8.0], context.store.waits_s


class _Consumer:
    def __init__(self):
        self.versions = []

    def apply_snapshot(self, rows, revision):
        self.apply_changes(rows)

    def apply_changes(self, rows):
        self.versions += [row.version for row in rows]

    def mark_current(self, revision):
        pass

    def mark_store_restored(self):
        raise AssertionError('the store was not restored')

    def mark_store_unavailable(self):
        raise AssertionError('the store was not asked')

    def mark_store_available(self, trusted_from_s):
        pass

    def trusted_from_s(self):
        return float('-inf')


@behave.given('a follower whose first source stops after version 11')
def following(context):
    context.consumer = _Consumer()
    table_follower = follower.TableFollower(
        _Sources(), 't', context.consumer, relay.TableRelay()
    )
    try:
        asyncio.run(table_follower.run())
    except asyncio.CancelledError:
        return


@behave.then('it has applied the versions 10 to 14 once each')
def applied_once(context):
    assert context.consumer.versions == [10, 11, 12, 13, 14]


@behave.given('a registry that never saw an outage')
def registry_without_outage(context):
    context.registry = registry.EndpointRegistry()
    context.registry.mark_store_available(-100.0)
    context.registry.update(
        endpoints.FleetEndpoint('e', 's', 'x:1', 'fd', 'v1', 8, False, 1), 1
    )


@behave.when(
    'another entry reports that removals are not trusted for {span_s:d} s'
)
def reported_distrust(context, span_s):
    context.registry.mark_store_available(10.0, 10.0 + span_s)


@behave.when('the row of an endpoint is removed')
def row_removed(context):
    context.registry.remove('e', 2, 10.5)


@behave.then('the endpoint is still used')
def still_used(context):
    assert context.registry.usable('s')
