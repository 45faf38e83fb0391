"""Steps for the control traffic between entries."""

from __future__ import annotations

import itertools
import math

import behave
from features.doubles import control_net
from features.variants import control as variants
from godwitvalve.configuration import member_lists
from godwitvalve.configuration import refresher
from godwitvalve.configuration import tracker
from godwitvalve.entry import freshness
from godwitvalve.entry import instance_watch
from godwitvalve.moves import evidence
from godwitvalve.moves import evidence_rows
from godwitvalve.peers import messages
import hypothesis
from hypothesis import strategies
from standins import local_site

DERANDOMIZED = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)
NAMES = ('a', 'b', 'c', 'd', 'e')
SEED = 4


class _EntryPair:
    """An entry with the reference table that mirrors its table of ages."""

    def __init__(self, name, offset_s):
        self.name = name
        self.offset_s = offset_s
        self.tracker = tracker.ConfigurationTracker(name)
        self.exchange = freshness.FreshnessExchange(self.tracker)
        self.reference = variants.ReferenceTable(name)
        self.set_listed(NAMES)

    def set_listed(self, names):
        self.tracker.set_listed(names)
        self.reference.set_listed(names)


class _Game:
    """Applies random actions to the real and to the reference tables."""

    def __init__(self, offsets):
        self.now_s = 100.0
        self.pairs = {
            name: _EntryPair(name, offset_s)
            for name, offset_s in zip(NAMES, offsets)
        }
        self.in_transit = []
        self.last_sent_s = dict.fromkeys(NAMES, -math.inf)
        self.read = self.unread = self.named = 0
        self.extra = itertools.count()

    def send(self, index, to):
        sender, receiver = NAMES[index], NAMES[to]
        if sender == receiver:
            return
        pair = self.pairs[sender]
        clock_s = self.now_s + pair.offset_s
        for peer, message in pair.exchange.messages_for(
            [each for each in NAMES if each != sender], clock_s
        ):
            if peer == receiver:
                ages = pair.reference.ages(clock_s)
                self.in_transit.append(
                    (sender, peer, messages.encode(message), ages, self.now_s)
                )
        self.last_sent_s[sender] = self.now_s

    def exchange(self, index, to):
        self.send(index, to)
        self.deliver(-1, index)

    def deliver(self, index, excess):
        if not self.in_transit:
            return
        sender, peer, packed, ages, sent_s = self.in_transit.pop(
            index % len(self.in_transit)  # -1 is the newest
        )
        pair = self.pairs[peer]
        clock_s = self.now_s + pair.offset_s
        transit_s = self.now_s - sent_s + excess / 8
        message = messages.decode(packed)._replace(transit_s=transit_s)
        order = message.names
        if message.order_digest:
            order = pair.tracker.last_seen._lists.find(message.order_digest)
        pair.exchange.handle_message(sender, message, clock_s)
        self.read += order is not None
        self.unread += order is None
        self.named += bool(message.names)
        # An entry that the order omits has no age in the message.
        ages = {name: ages[name] for name in order or () if name in ages}
        pair.reference.merge(sender, ages, clock_s - transit_s)

    def list(self, index, bits):
        listed = [name for bit, name in enumerate(NAMES) if bits >> bit & 1]
        if bits >= 32:
            # A list that no other entry knows.
            listed.append(f'x{next(self.extra)}')
        self.pairs[NAMES[index]].set_listed(listed)

    def advance(self, tenths, _):
        self.now_s += tenths * 0.375

    def check(self):
        for pair in self.pairs.values():
            times = pair.tracker.last_seen.times()
            for name in NAMES:
                at_s = times.get(name, -math.inf)
                assert at_s == pair.reference.at_s(name), (pair.name, name)
                true_s = self.last_sent_s[name] + pair.offset_s
                assert at_s <= true_s + 1e-9, 'lower than the true age'


@behave.then(
    'for any order of lists, sends and deliveries the table of ages equals '
    'the reference table and no age is lower than the true one'
)
def table_equals_reference(context):
    small = strategies.integers(0, 4)
    action = strategies.one_of(
        strategies.tuples(strategies.just('send'), small, small),
        strategies.tuples(strategies.just('deliver'), small, small),
        strategies.tuples(strategies.just('exchange'), small, small),
        strategies.tuples(strategies.just('exchange'), small, small),
        strategies.tuples(strategies.just('advance'), small, small),
        strategies.tuples(
            strategies.just('list'), small, strategies.integers(0, 63)
        ),
    )
    reads = []

    @DERANDOMIZED
    @hypothesis.given(
        strategies.lists(
            strategies.integers(-1000, 1000), min_size=5, max_size=5
        ),
        strategies.lists(action, min_size=30, max_size=120),
    )
    def run(offsets, actions):
        game = _Game(offsets)
        for name, first, second in actions:
            getattr(game, name)(first, second)
            game.check()
        reads.append((game.read, game.unread, game.named))

    run()
    read, unread, named = map(sum, zip(*reads))
    assert read > 1000 and unread > 50 and named > 50, (read, unread, named)


def _run_net(context, count, duration_s, **variant):
    context.net = control_net.ControlNet(count, SEED, **variant)
    context.net.run_until(duration_s)


@behave.given(
    '{count:d} entries that exchange ages without a store for {for_s:g} s'
)
def entries_exchange(context, count, for_s):
    _run_net(context, count, for_s)


@behave.given(
    '{count:d} entries whose table forgets ages, without a store for '
    '{for_s:g} s'
)
def entries_forget_ages(context, count, for_s):
    _run_net(context, count, for_s, make_tracker=variants.AgelessTracker)


@behave.given(
    '{count:d} entries that send only their revision in force, without a '
    'store for {for_s:g} s'
)
def entries_send_in_force(context, count, for_s):
    variant = variants.WithoutKnownRevision
    _run_net(context, count, for_s, make_exchange=variant)


@behave.then('all {count:d} entries of the control network admit work')
def all_admit(context, count):
    assert len(context.net.admitting()) == count


@behave.when('{count:d} of them are cut off from the other {others:d}')
def cut_off(context, count, others):
    names = sorted(context.net.entries)
    assert len(names) == count + others
    context.minority = set(names[::2][:count])
    context.majority = set(names) - context.minority
    context.net.partition(context.minority)


@behave.then(
    'within 10 s the minority stops admitting and the majority admits for '
    '{for_s:g} s'
)
def minority_stops(context, for_s):
    net = context.net
    begin_s = net.now_s
    while net.now_s < begin_s + for_s:
        net.run_until(net.now_s + 0.25)
        admitting = net.admitting()
        assert context.majority <= admitting, net.now_s - begin_s
        if net.now_s - begin_s > 10:
            assert not admitting & context.minority, net.now_s - begin_s


@behave.then('within {for_s:g} s no entry of the control network admits work')
def none_admits(context, for_s):
    context.net.run_until(context.net.now_s + for_s + 0.01)
    assert not context.net.admitting()


@behave.then('after 10 s some entry of the minority still admits work')
def minority_admits(context):
    context.net.run_until(context.net.now_s + 10.01)
    assert context.net.admitting() & context.minority


@behave.then(
    'after {for_s:g} s some entry of the control network still admits work'
)
def some_admit(context, for_s):
    context.net.run_until(context.net.now_s + for_s + 0.01)
    assert context.net.admitting()


@behave.when('one entry receives a revision whose parts nobody can fetch')
def receives_revision(context):
    net = context.net
    entry = net.entries[min(net.entries)]
    entry.tracker.offer(control_net.make_head(2), entry.clock_s(net.now_s))


@behave.when(
    'one entry of the minority reads the store each second for {for_s:g} s'
)
def one_reads_store(context, for_s):
    net = context.net
    entry = net.entries[min(context.minority)]
    for _ in range(int(for_s)):
        clock_s = entry.clock_s(net.now_s)
        entry.tracker.confirm_by_store(1, clock_s, clock_s)
        net.run_until(net.now_s + 1)


@behave.then('all {count:d} entries of the minority admit work')
def minority_admits_all(context, count):
    assert len(context.net.admitting() & context.minority) == count


@behave.then(
    'all {count:d} entries admit work at each second of the next {for_s:d} s'
)
def all_keep_admitting(context, count, for_s):
    context.net.sent_bytes = 0
    context.begin_s = context.net.now_s
    for _ in range(for_s):
        context.net.run_until(context.net.now_s + 1)
        assert len(context.net.admitting()) == count


@behave.then('each entry sent less than {limit:d} bytes a second of ages')
def few_bytes(context, limit):
    net = context.net
    sent = net.sent_bytes / len(net.entries) / (net.now_s - context.begin_s)
    assert sent < limit, sent


@behave.given('two neighbours whose lists have no common digest')
def lists_differ(context):
    context.trackers = {}
    context.exchanges = {}
    for name, third in (('a', 'x'), ('b', 'y')):
        tracked = tracker.ConfigurationTracker(name)
        for number in range(member_lists.MAX_LISTS + 1):
            tracked.set_listed(['a', 'b', 'c', f'{third}{number}'])
        context.trackers[name] = tracked
        context.exchanges[name] = freshness.FreshnessExchange(tracked)
    report = tracker.PeerFreshness('c', 0, None, 2.0)
    context.trackers['a'].apply_peer_report(report, 50.0)


@behave.when('they exchange ages three times')
def exchange_ages(context):
    context.sent = []
    for now_s in (50.0, 51.0, 52.0):
        for name, peer in (('a', 'b'), ('b', 'a')):
            found = context.exchanges[name].messages_for([peer], now_s)
            [(_, message)] = found
            context.sent.append(message)
            context.exchanges[peer].handle_message(name, message, now_s)


@behave.then('each has received the ages of the other, by name')
def read_by_name(context):
    assert not context.sent[0].names
    assert context.sent[-1].names and context.sent[-2].names
    times = context.trackers['b'].last_seen.times()
    assert 47.9 < times['c'] < 48.0


# Evidence reports and reads of the store.


@behave.given(
    'evidence of an entry about the services "{first}" and "{second}"'
)
def evidence_of_services(context, first, second):
    context.evidence_window = evidence.EvidenceWindow('a', 1)
    for service in (first, second):
        key = evidence_rows.CellKey(service, 'v1', '/x', 'fd-1', 'e1', 0)
        context.evidence_window.record(key, 1000.0, failed=False, time_s=0.1)


@behave.when('it reports evidence while only "{service}" is moving')
def reports_with_move(context, service):
    context.report = context.evidence_window.report(1000.5, {service})


@behave.then('the report contains only the evidence about "{service}"')
def report_holds(context, service):
    [bucket] = context.report.buckets
    assert [row.key.service for row in bucket.cells] == [service]
    assert bucket.cells[0].cell.attempts == 1


@behave.then('the report is empty while only "{service}" is moving')
def report_is_empty(context, service):
    assert not context.evidence_window.report(1000.5, {service}).buckets


_INTERVALS = (instance_watch.list_interval_s, refresher.poll_interval_s)


@behave.then(
    'up to {entries:d} entries read the list and the head at most '
    '{limit:d} times a second each'
)
def reads_bounded(context, entries, limit):
    for interval_s in _INTERVALS:
        for count in range(1, entries + 1):
            assert count / interval_s(count) <= limit + 1e-9, count


@behave.then(
    'no number of entries makes an entry read less often than every '
    '{limit_s:g} s'
)
def reads_often_enough(context, limit_s):
    for interval_s in _INTERVALS:
        assert max(map(interval_s, range(2000))) <= limit_s


@behave.then(
    'up to {entries:d} entries read the list each second and the head each '
    '{head_s:g} s'
)
def reads_at_base_interval(context, entries, head_s):
    for count in range(entries + 1):
        assert instance_watch.list_interval_s(count) == 1.0
        assert refresher.poll_interval_s(count) == head_s


@behave.then('the status of each entry shows growing control traffic')
def status_shows_traffic(context):
    site = context.site

    def control(name):
        url = f'{site.url(name)}/v1/status'
        return local_site.http_json('GET', url)['control']

    before = {name: control(name) for name in site.entry_ids()}
    assert len(before) == 3

    def has_grown():
        return all(
            control(name)['bytes_in'] > held['bytes_in'] > 0
            and control(name)['bytes_out'] > held['bytes_out'] > 0
            for name, held in before.items()
        )

    local_site.wait_until(has_grown, 'control traffic grows')
