"""Steps for a store that comes back from an older copy."""

from __future__ import annotations

import asyncio
import time

import behave
from godwitvalve.fleet import consumers
from godwitvalve.fleet import eras
from godwitvalve.fleet import follower
from godwitvalve.fleet import relay
from godwitvalve.fleet import revisions
from godwitvalve.fleet import sources
from godwitvalve.fleet import state as states
from godwitvalve.platform import store as stores
import msgspec

STEP_LIMIT_S = 6.0


def _values(text):
    return {
        key: value
        for key, _, value in (each.partition('=') for each in text.split(', '))
    }


class _Store:
    """One table whose history may be replaced, as its only source."""

    def __init__(self, text, version, era):
        self.calls = 0
        self.is_without_history = False
        self.delay_s = 0.0
        self.changed = asyncio.Event()
        self.restore(text, version, era)

    def restore(self, text, version, era):
        self.version, self.era = version, era
        self.rows_by_key = {
            key: stores.StoredRow(key, version, value.encode())
            for key, value in _values(text).items()
        }
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _answer(self, after=-1):
        rows = [
            row for row in self.rows_by_key.values() if row.version > after
        ]
        return sources.TableAnswer(
            rows, self.version, time.monotonic(), era=self.era
        )

    async def rows(self, table):
        self.calls += 1
        await asyncio.sleep(0)
        return self._answer()

    async def changes(self, table, after, wait_s):
        self.calls += 1
        await asyncio.sleep(0)
        if self.is_without_history or after.version > self.version:
            raise stores.HistoryExpired
        if not self._answer(after.version).rows:
            await self._wait(wait_s)
        await asyncio.sleep(self.delay_s)
        if after.version > self.version:
            raise stores.HistoryExpired
        return self._answer(after.version)

    async def _wait(self, wait_s):
        changed = self.changed
        try:
            async with asyncio.timeout(wait_s):
                await changed.wait()
        except asyncio.TimeoutError:
            return

    def choose(self):
        return self, ''

    def wait_s(self, table):
        return 8.0

    def mark_failed(self, instance_id):
        raise AssertionError('no entry was asked')


class _Consumer:
    def __init__(self):
        self.values = {}
        self.restores = 0
        self.current_versions = []

    def apply_snapshot(self, rows, revision):
        self.values = {}
        self.apply_changes(rows)

    def apply_changes(self, rows):
        self.values |= {row.key: row.value.decode() for row in rows}

    def mark_current(self, revision):
        self.current_versions.append(revision.version)

    def mark_store_restored(self):
        self.restores += 1

    def mark_store_unavailable(self):
        pass

    def mark_store_available(self, trusted_from_s):
        pass

    def trusted_from_s(self):
        return float('-inf')


class _Following:
    """A follower that runs in a loop of its own between steps."""

    def __init__(self, text, version, era):
        self.loop = asyncio.new_event_loop()
        self.consumer = _Consumer()
        self.known_era = eras.StoreEra()
        self.run(self._start(text, version, era))

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def _start(self, text, version, era):
        self.store = _Store(text, version, era)
        self.known_era.record(era or 0)
        table_follower = follower.TableFollower(
            self.store,
            't',
            self.consumer,
            relay.TableRelay(),
            era=self.known_era,
        )
        self.task = asyncio.create_task(table_follower.run())
        await asyncio.sleep(0.05)
        assert self.consumer.values == _values(text), self.consumer.values
        self.store.calls = 0

    async def knows(self, text, limit_s=STEP_LIMIT_S):
        """Wait until the consumer has exactly these rows."""
        try:
            async with asyncio.timeout(limit_s):
                while self.consumer.values != _values(text):
                    await asyncio.sleep(0.01)
        except asyncio.TimeoutError:
            return False
        return True

    def close(self):
        self.task.cancel()
        self.run(asyncio.gather(self.task, return_exceptions=True))
        self.loop.close()


def _follow(context, text, version, era):
    context.following = _Following(text, version, era)
    context.add_cleanup(context.following.close)


@behave.given(
    'a follower that read "{text}" at version {version:d} of era {era:d}'
)
def following(context, text, version, era):
    _follow(context, text, version, era)


@behave.given(
    'a follower that read "{text}" at version {version:d} without an era'
)
def following_without_era(context, text, version):
    _follow(context, text, version, None)


def _restore(context, text, version, era, is_deaf=False):
    async def restore():
        store = context.following.store
        if is_deaf:
            # The waiting call holds the event of the history before.
            store.changed = asyncio.Event()
        store.restore(text, version, era)

    context.following.run(restore())


@behave.when('the store is restored with "{text}" at version {version:d}')
def restored(context, text, version):
    _restore(context, text, version, context.following.store.era + 1)


@behave.when(
    'the store is restored with "{text}" at version {version:d} of era {era:d}'
)
def restored_to_era(context, text, version, era):
    _restore(context, text, version, era)


@behave.when(
    'the store is restored with "{text}" at version {version:d} without an era'
)
def restored_without_era(context, text, version):
    _restore(context, text, version, None)


@behave.when(
    'the store is restored with "{text}" at version {version:d} and does not '
    'answer the waiting call'
)
def restored_unnoticed(context, text, version):
    era = context.following.store.era + 1
    _restore(context, text, version, era, is_deaf=True)
    assert not context.following.run(context.following.knows(text, 0.3))


@behave.when(
    '"{text}" is written {wait_s:g} s later at version {version:d}, and the '
    'store takes {delay_s:g} s'
)
def written_later(context, text, wait_s, version, delay_s):
    async def write():
        following = context.following
        await asyncio.sleep(wait_s)
        following.consumer.current_versions.clear()
        following.store.delay_s = delay_s
        following.store.restore(text, version, following.store.era)

    context.following.run(write())


@behave.then('the follower knows "{text}" and {known} before version {last:d}')
def knows_unchanged(context, text, known, last):
    following = context.following
    assert following.run(following.knows(text)), following.consumer.values
    expected = {'that nothing changed': [last - 1, last], 'no more': [last]}
    found = following.consumer.current_versions
    assert found[:2] == expected[known], found


@behave.when('the store has no changes of any version for {span_s:g} s')
def without_history(context, span_s):
    async def wait():
        store = context.following.store
        store.is_without_history = True
        store.changed.set()
        await asyncio.sleep(span_s)

    context.following.run(wait())


@behave.when('another entry reports era {era:d}')
def reported_era(context, era):
    context.following.known_era.record_report(era)


@behave.when('another entry reports era {era:d} ten times')
def reported_often(context, era):
    async def report():
        for _ in range(10):
            context.following.known_era.record_report(era)
            await asyncio.sleep(0.02)

    context.following.run(report())


@behave.then('the follower knows "{text}" within {count:d} calls')
def knows_within(context, text, count):
    following = context.following
    assert following.run(following.knows(text)), following.consumer.values
    assert following.store.calls <= count, following.store.calls
    assert following.consumer.restores == 1, following.consumer.restores


@behave.then('the follower made at most {count:d} calls')
def calls_made(context, count):
    assert context.following.store.calls <= count


@behave.then(
    'the follower knows "{text}" after {limit_s:d} s but not after '
    '{early_s:d} s'
)
def knows_late(context, text, limit_s, early_s):
    following = context.following
    assert not following.run(following.knows(text, early_s))
    # Retries are up to 0.8 s apart.
    rest_s = limit_s - early_s + 0.8
    assert following.run(following.knows(text, rest_s))


class _LaggingEntry:
    """Relays an older era than the one that was read from the store."""

    def __init__(self, fresh, stale, reads_whole_table):
        self._fresh = fresh
        self._stale = stale
        self._reads_whole_table = reads_whole_table
        self.calls = 0
        self.is_failed = False

    def choose(self):
        if self.is_failed:
            raise asyncio.CancelledError
        return self, 'lagging' if self.calls else ''

    async def rows(self, table):
        self.calls += 1
        return self._fresh if self.calls == 1 else self._stale

    async def changes(self, table, after, wait_s):
        self.calls += 1
        if self._reads_whole_table:
            raise stores.HistoryExpired
        return self._stale

    def wait_s(self, table):
        return 0.0

    def mark_failed(self, instance_id):
        self.is_failed = True


def _table_answer(text, version, era):
    rows = [
        stores.StoredRow(key, version, value.encode())
        for key, value in _values(text).items()
    ]
    return sources.TableAnswer(rows, version, time.monotonic(), era=era)


@behave.when(
    'another entry relays "{text}" at version {version:d} of era {era:d} to a '
    'reader of {what}'
)
def relayed_stale(context, text, version, era, what):
    store = context.following.store
    context.lagging = _LaggingEntry(
        _table_answer('x=2', store.version, store.era),
        _table_answer(text, version, era),
        what == 'the whole table',
    )
    context.reader = _Consumer()
    table_follower = follower.TableFollower(
        context.lagging, 't', context.reader, relay.TableRelay()
    )
    try:
        asyncio.run(table_follower.run())
    except asyncio.CancelledError:
        return


@behave.then('the reader does not use the answer')
def stale_not_used(context):
    assert context.lagging.is_failed
    assert context.reader.values == {'x': '2'}, context.reader.values


@behave.when(
    'it reads the whole table "{text}" at version {version:d} of era {era:d}'
)
def relay_reads_table(context, text, version, era):
    answer = _table_answer(text, version, era)
    asyncio.run(context.relay.update(answer, True))


@behave.then('a reader at version {version:d} of era {era:d} gets ""')
def reader_gets_nothing(context, version, era):
    after = stores.StoreRevision(era, version)
    assert context.relay.since(after).rows == []


def _configuration(version, content='', row_version=None):
    """Return the row of a configuration."""
    value = msgspec.json.encode({'version': version, 'name': content})
    return stores.StoredRow('config', row_version or version, value)


def _consume_operator_rows(context):
    context.state = states.FleetState()
    context.changes = []
    context.configuration_consumer = consumers.ConfigurationConsumer(
        context.state, lambda: context.changes.append(context.state.version)
    )
    context.consumer = consumers.OperatorConsumer(
        context.configuration_consumer,
        consumers.OrderConsumer(lambda order, may_be_copied: None),
    )


@behave.given('an entry with configuration {version:d} of era {era:d}')
def entry_with_configuration(context, version, era):
    _consume_operator_rows(context)
    context.consumer.apply_snapshot([], stores.StoreRevision(era, 1))
    context.consumer.apply_changes([_configuration(version)])
    assert context.changes == [version]
    context.changes.clear()


@behave.when('the first table of era {era:d} holds configuration {version:d}')
def copy_holds(context, era, version):
    context.consumer.apply_snapshot(
        [_configuration(version)], stores.StoreRevision(era, 20)
    )


@behave.given('nothing changed in the table up to version {version:d}')
def table_unchanged(context, version):
    context.consumer.mark_current(stores.StoreRevision(1, version))


@behave.given(
    'configuration {version:d} is read at row version {row_version:d}'
)
def configuration_read(context, version, row_version):
    row = _configuration(version, row_version=row_version)
    context.consumer.apply_changes([row])
    context.changes.clear()


@behave.when(
    'the first table of era {era:d} holds configuration {version:d} of row '
    'version {row_version:d}'
)
def restored_table_holds(context, era, version, row_version):
    context.consumer.apply_snapshot(
        [_configuration(version, row_version=row_version)],
        stores.StoreRevision(era, 45),
    )


@behave.when('configuration {version:d} is written')
def configuration_written(context, version):
    context.consumer.apply_changes([_configuration(version)])


@behave.when('configuration {version:d} is written with other content')
def other_configuration_written(context, version):
    context.consumer.apply_changes([_configuration(version, 'other')])


@behave.when(
    'configuration {first:d} is written, {pause_s:g} s later {second:d} and '
    '{pause2_s:g} s later {third:d}'
)
def written_in_order(context, first, pause_s, second, pause2_s, third):
    pauses_s = (0.0, pause_s, pause2_s)
    now_s = time.monotonic() + 100.0
    for version, wait_s in zip((first, second, third), pauses_s):
        now_s += wait_s
        context.configuration_consumer.install_deferred(now_s)
        context.configuration_consumer.apply_changes(
            [_configuration(version)],
            revisions.EraSpan(2, 2),
            False,
            now_s,
        )
    context.configuration_consumer.install_deferred(now_s + 10.0)


@behave.then('configuration {version:d} is installed after {delay_s:g} s')
def installed_after(context, version, delay_s):
    now_s = time.monotonic()
    if delay_s:
        context.configuration_consumer.install_deferred(now_s + delay_s - 0.3)
        is_early = context.state.version == version and context.changes
        assert not is_early, context.changes
    context.configuration_consumer.install_deferred(now_s + delay_s)
    assert context.state.version == version, context.state.version


@behave.then('configuration {first:d} and then {second:d} were installed')
def installed_one_by_one(context, first, second):
    assert context.changes == [first, second], context.changes


@behave.when('{span_s:d} s pass')
def span_passes(context, span_s):
    consumer = context.configuration_consumer
    consumer.install_deferred(time.monotonic() + span_s)


@behave.then('configuration {version:d} is installed and nothing changed')
@behave.then('configuration {version:d} was installed all the time')
def nothing_changed(context, version):
    assert context.state.version == version
    assert context.changes == [], context.changes


@behave.when('the whole table of era {era:d} is read once more')
def table_read_again(context, era):
    context.consumer.apply_snapshot(
        [_configuration(5)], stores.StoreRevision(era, 30)
    )


@behave.given(
    'an entry that started in era {era:d} and read configuration {version:d}'
)
def started_entry(context, era, version):
    _consume_operator_rows(context)
    context.consumer.apply_snapshot(
        [_configuration(version)], stores.StoreRevision(era, 40)
    )
    context.changes.clear()


@behave.when(
    'configuration {version:d} is written beyond the first table of era '
    '{era:d} and the whole table read'
)
def written_and_read(context, version, era):
    context.consumer.apply_snapshot(
        [_configuration(version, 'other', row_version=25)],
        stores.StoreRevision(era, 30),
    )
