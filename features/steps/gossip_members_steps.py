"""Steps for the membership of entry instances."""

from __future__ import annotations

import json
import random

import behave
from godwitvalve.fleet import consumers
from godwitvalve.fleet import revisions
from godwitvalve.fleet import state as states
from godwitvalve.gossip import members
from godwitvalve.gossip import node
from godwitvalve.ingress import membership
import hypothesis
from hypothesis import strategies
import msgspec

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


def domain(name):
    """Return one of four failure domains."""
    return f'fd-{sum(map(ord, name)) % 4}'


def record(name, heartbeat=1, started_ms=1):
    return members.Record(
        name,
        started_ms,
        heartbeat,
        members.SERVING,
        f'{name}:80',
        f'{name}:90',
        domain(name),
        3,
        {'i-0123456789': (2, 1, 1)},
    )


@behave.given('members that received heartbeats of "{names}" at {now_s:g} s')
def members_received(context, names, now_s):
    context.members = members.Members('own', 'fd-1')
    for name in names.split(', '):
        context.members.merge(record(name, 5), now_s)


@behave.given(
    'members that received heartbeats of {count:d} entries at {now_s:g} s'
)
def many_received(context, count, now_s):
    context.members = members.Members('own', 'fd-1')
    for number in range(count):
        context.members.merge(record(f'entry-{number}'), now_s)


@behave.given('members that read the record of "{name}" from the store')
def members_stored(context, name):
    context.members = members.Members('own', 'fd-1')
    context.members.add_stored(record(name), 0.0)


@behave.when('a heartbeat of "{name}" arrives at {now_s:g} s')
def heartbeat_arrives(context, name, now_s):
    assert context.members.merge(record(name, 6), now_s)


@behave.when('an old record of "{name}" arrives at {now_s:g} s')
def old_record(context, name, now_s):
    assert not context.members.merge(record(name, 5), now_s)


@behave.when('a heartbeat of a restarted "{name}" arrives at {now_s:g} s')
def restarted_heartbeat(context, name, now_s):
    assert context.members.merge(record(name, 1, 2), now_s)


@behave.when('the record of "{name}" is read from the store at {now_s:g} s')
def stored_later(context, name, now_s):
    context.members.add_stored(record(name), now_s)


@behave.when('expired members are removed at {now_s:g} s')
def expired_removed(context, now_s):
    context.members.remove_expired(now_s)


@behave.when(
    'a heartbeat of "{name}", whose clock was set back, arrives at {now_s:g} s'
)
def heartbeat_after_clock_step(context, name, now_s):
    context.members.merge(record(name, 1, 0), now_s)


@behave.when(
    'a record of "{name}" from before its clock was set back arrives at '
    '{now_s:g} s, sent at {sent_s:g} s'
)
def record_before_clock_step(context, name, now_s, sent_s):
    context.members.merge(record(name, 9, 1), now_s, now_s - sent_s)


@behave.then('the start of "{name}" is {started_ms:d}')
def start_is(context, name, started_ms):
    found = {
        each.instance_id: each.started_wall_ms
        for each in context.members.alive(float('-inf'))
    }
    assert found[name] == started_ms, found


@behave.then('an entry at version {own:d} reads from "{name}" of "{versions}"')
def reads_from(context, own, name, versions):
    records = [
        msgspec.structs.replace(
            record(f'e{position}'), configuration_version=int(version)
        )
        for position, version in enumerate(versions.split(', '))
    ]
    for seed in range(20):
        chosen = membership.choose_peer(
            records, revisions.ConfigurationRevision(own), random.Random(seed)
        )
        assert chosen is not None and chosen.instance_id == name, chosen


@behave.then('an entry at version {own:d} reads from none of "{versions}"')
def reads_from_none(context, own, versions):
    records = [
        msgspec.structs.replace(
            record(f'e{position}'), configuration_version=int(version)
        )
        for position, version in enumerate(versions.split(', '))
    ]
    found = membership.choose_peer(
        records, revisions.ConfigurationRevision(own), random.Random(1)
    )
    assert found is None


@behave.then('"{names}" are alive at {now_s:g} s')
def are_alive(context, names, now_s):
    found = {each.instance_id for each in context.members.alive(now_s)}
    assert found == set(names.split(', ')), found


@behave.then('nobody is alive at {now_s:g} s')
def nobody_alive(context, now_s):
    assert not context.members.alive(now_s)


@behave.then('heartbeats go to {count:d} addresses')
def heartbeat_addresses(context, count):
    found = context.members.heartbeat_targets(random.Random(1))
    assert len(found) == count, found


@behave.then('{count:d} of them are in other failure domains')
def cross_domain_heartbeats(context, count):
    found = context.members.heartbeat_targets(random.Random(1))
    other_domains = [each for each in found if domain(each[:-3]) != 'fd-1']
    assert len(other_domains) == count, found


@behave.then('a datagram with relayed records fits {limit:d} bytes')
def datagram_fits(context, limit):
    relayed = context.members.records_to_relay(0.0, random.Random(1))
    own = members.AgedRecord(0, record('own'))
    assert len(node.encode([own, *relayed])) <= limit


class _Fleet:
    """Entries that exchange heartbeats in rounds."""

    def __init__(self, count, loss, seed):
        self.rng = random.Random(seed)
        self.names = [f'e{number}' for number in range(count)]
        self.loss = loss
        self.views = {
            name: members.Members(name, domain(name)) for name in self.names
        }
        self.heartbeat = 0
        self.stopped = set()
        for view in self.views.values():
            for name in self.names:
                view.merge(record(name, 0), 0.0)

    def round(self, now_s):
        self.heartbeat += 1
        for name in self.rng.sample(self.names, len(self.names)):
            if name not in self.stopped:
                self._send(name, now_s)

    def _send(self, name, now_s):
        view = self.views[name]
        for address in view.heartbeat_targets(self.rng):
            relayed = view.records_to_relay(now_s, self.rng)
            if self.rng.random() < self.loss:
                continue
            other = self.views[address.partition(':')[0]]
            other.merge(record(name, self.heartbeat), now_s)
            for age_ms, each in relayed:
                other.merge(each, now_s, age_ms / 1000)

    def missing(self, now_s):
        live = len(self.names) - len(self.stopped) - 1
        return sum(
            live
            - sum(
                each.instance_id not in self.stopped
                for each in view.alive(now_s)
            )
            for name, view in self.views.items()
            if name not in self.stopped
        )

    def sees(self, name, now_s):
        return any(
            each.instance_id == name
            for viewer, view in self.views.items()
            if viewer not in self.stopped
            for each in view.alive(now_s)
        )


@behave.when(
    '{count:d} entries exchange heartbeats for {span_s:d} s and lose '
    '{percent:d} in 100 datagrams'
)
def exchange_heartbeats(context, count, span_s, percent):
    fleet = context.fleet = _Fleet(count, percent / 100, 11)
    context.missed = context.view_count = 0
    now_s = 0.0
    while now_s < span_s:
        now_s += node.HEARTBEAT_PERIOD_S
        fleet.round(now_s)
        context.missed += fleet.missing(now_s)
        context.view_count += count * (count - 1)
    context.now_s = now_s


@behave.then('at most {percent:d} in 100 views misses a live entry')
def few_missing(context, percent):
    share = context.missed / context.view_count
    assert share <= percent / 100, share


@behave.then('an entry that stops is dead in all views within {limit_s:g} s')
def dead_in_all_views(context, limit_s):
    fleet = context.fleet
    fleet.stopped.add('e5')
    now_s = context.now_s
    while now_s < context.now_s + limit_s:
        now_s += node.HEARTBEAT_PERIOD_S
        fleet.round(now_s)
    assert not fleet.sees('e5', now_s)


@behave.then('generated datagrams never end the exchange')
def fuzzed(context):
    view = members.Members('own', 'fd-1')
    exchange = node.GossipNode(view, record, (), lambda *_: None)
    good = node.encode(
        [members.AgedRecord(0, record(name)) for name in ('e1', 'e2')]
    )

    @SETTINGS
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=200),
            strategies.tuples(
                strategies.integers(0, len(good) - 1),
                strategies.integers(0, 255),
            ).map(
                lambda at: good[: at[0]] + bytes([at[1]]) + good[at[0] + 1 :]
            ),
        )
    )
    def check(datagram):
        exchange.datagram_received(datagram, ('127.0.0.1', 1))

    check()


@behave.given(
    '{entries:d} other entries of which {silent:d} have been silent for '
    '{silence_s:d} s'
)
def entries_silent(context, entries, silent, silence_s):
    context.members = members.Members('own', 'fd-1')
    for number in range(entries):
        seen_s = 100.0 - (silence_s if number < silent else 0.1)
        context.members.merge(record(f'entry-{number}'), seen_s)


@behave.then('this entry may use {share:g} of a limit')
def may_use(context, share):
    found = context.members.reachable_share(100.0)
    assert abs(found - share) < 1e-6, found


def _revision(text):
    """Return a revision such as ``1-2.7``, version 7 of era 1 or 2."""
    eras, _, version = text.partition('.')
    first, _, last = eras.partition('-')
    span = revisions.EraSpan(int(first), int(last or first))
    return revisions.ConfigurationRevision(int(version), span)


def _records_at(texts):
    return [
        msgspec.structs.replace(
            record(f'e{position}'),
            configuration_era=_revision(text).eras.first,
            configuration_last_era=_revision(text).eras.last,
            configuration_version=_revision(text).version,
        )
        for position, text in enumerate(texts.split(', '))
    ]


@behave.then('an entry at revision "{own}" reads from "{name}" of "{others}"')
def reads_revision_from(context, own, name, others):
    chosen = membership.choose_peer(
        _records_at(others), _revision(own), random.Random(1)
    )
    assert chosen is not None and chosen.instance_id == name, chosen


@behave.then('an entry at revision "{own}" reads from none of "{others}"')
def reads_no_revision(context, own, others):
    chosen = membership.choose_peer(
        _records_at(others), _revision(own), random.Random(1)
    )
    assert chosen is None, chosen


@behave.then(
    'version {first:d} of the eras {eras} is {order} version {second:d} of '
    'the eras {others}'
)
def revisions_ordered(context, first, eras, order, second, others):
    one = _revision(f'{eras}.{first}')
    other = _revision(f'{others}.{second}')
    expected = {
        'newer than': (True, False),
        'older than': (False, True),
        'not newer than': (False, False),
    }
    found = one.supersedes(other), other.supersedes(one)
    assert found == expected[order], found


@behave.then(
    'an entry that replaced "{older}" by "{newer}" does not install "{again}" '
    'of another entry'
)
def does_not_install(context, older, newer, again):
    consumer = consumers.ConfigurationConsumer(
        states.FleetState(), lambda: None
    )

    def apply(text):
        revision = _revision(text)
        content = json.dumps({'version': revision.version}).encode()
        return consumer.apply_content(content, revision.eras, 'entry-1')

    assert [apply(older), apply(newer), apply(again)] == [True, True, False]


def _encoded_record():
    its_record = msgspec.structs.replace(
        record('e0'),
        caller_address='127.0.0.1:80',
        peer_address='127.0.0.1:90',
        configuration_era=3,
        store_era=4,
        configuration_last_era=4,
    )
    return msgspec.msgpack.decode(msgspec.msgpack.encode(its_record))


@behave.then(
    'a record without the last era of its configuration is of era "{text}"'
)
def earlier_record(context, text):
    fields = _encoded_record()[:20]
    found = msgspec.convert(fields, members.Record)
    eras = found.configuration_revision.eras
    assert f'{eras.first}-{eras.last}' == text, eras


@behave.then(
    'an entry of an earlier release reads era {era:d} of the same record'
)
def read_by_earlier(context, era):
    # Positions of the eras in earlier releases, which ignore further fields.
    assert _encoded_record()[18:20] == [era, 4], _encoded_record()


@behave.then(
    'a datagram of {count:d} records with {size:d} bytes of use holds at '
    'least {least:d} records'
)
def holds_most(context, count, size, least):
    its_record = msgspec.structs.replace(
        record('e1'),
        sessions={'s' * 80: 'i-0123456789'},
        account_use={'portal': {'a' * size: (1, 0)}},
    )
    content = node.encode([members.AgedRecord(0, its_record)] * count)
    assert len(content) <= node.MAX_DATAGRAM_BYTES
    assert len(msgspec.msgpack.decode(content)) >= least, len(content)
