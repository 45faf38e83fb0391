"""Steps of features/placement/endpoint_speeds.feature."""

from __future__ import annotations

import asyncio
import collections
import functools
import random
import time

from aioprometheus import renderer
import behave
from features.doubles import entry_settings
from features.doubles import forwarding_site
from features.doubles import scripted_endpoint
from features.doubles import speeds as speed_doubles
from features.models import pace_replay
from godwitvalve.fleet import endpoints
from godwitvalve.fleet import routes
from godwitvalve.forwarding import speed_meter
from godwitvalve.forwarding import streams
from godwitvalve.gossip import members
from godwitvalve.gossip import node
from godwitvalve.ingress import process
from godwitvalve.placement import choose
from godwitvalve.placement import endpoint_speeds
from godwitvalve.placement import pace
from godwitvalve.placement import speed
from godwitvalve.placement import tracker
from godwitvalve.rollouts import observation
from godwitvalve.rollouts import outcome_counts
import msgspec

SERVICE = 'portal'
REPLAY_S = 90.0
PACED_HEAD = scripted_endpoint.STREAM_HEAD.replace(
    b'Content-Type', b'Server-Load: 1,0,8,100\r\nContent-Type'
)


def _endpoint(number, incarnation=0):
    return endpoints.FleetEndpoint(
        f'e{number}-{incarnation}',
        SERVICE,
        f'127.0.{number // 250}.{number % 250 + 1}:50080',
        f'fd-{number % 3}',
        'v1',
        16,
        False,
        1,
    )


@functools.cache
def _replay(seed, has_pace):
    replay = pace_replay.PaceReplay(has_pace, seed)
    return replay, replay.run(REPLAY_S)


@behave.when('90 s of etosha-cdr-grown are replayed with seed {seed:d}')
def replayed(context, seed):
    context.replay, context.result = _replay(seed, True)
    _, context.older = _replay(seed, False)


@behave.then('at most half as many streams are late as by the older rule')
def fewer_late(context):
    found, older = context.result, context.older
    assert found.late / found.ended <= older.late / older.ended / 2, (
        found,
        older,
    )


@behave.then('at most half the share of the slow engines goes there')
def fewer_slow(context):
    engines = range(pace_replay.ENGINES)
    speeds = [context.replay.speed(each) for each in engines]
    share = speeds.count(min(speeds)) / len(speeds)
    found = context.result
    assert 0 < found.placed_slow / found.placed <= share / 2, found


@behave.then(
    'all entries know the speed of {count:d} in 10 engines within {share:g}'
)
def speeds_known(context, count, share):
    replay = context.replay
    usual = max(pace_replay.SPEEDS)
    for known in replay.speeds:
        right = sum(
            abs(known.relative_speed(each) * usual / replay.speed(number) - 1)
            < share
            for number, each in enumerate(replay.engines)
        )
        assert right >= pace_replay.ENGINES * count / 10, right


@behave.given('a service that states its pace')
def paced_service(context):
    context.speeds = endpoint_speeds.EndpointSpeeds()
    context.paces = pace.PaceTable()
    context.paces.record_service(SERVICE)
    context.work = endpoint_speeds.WorkFactors(context.paces, context.speeds)
    context.now_s = 100.0


@behave.given(
    'a service that states {what} pace, with a speed of 0.5 at one endpoint'
)
def service_with_slow(context, what):
    paced_service(context)
    if what == 'no':
        context.paces = pace.PaceTable()
        context.work = endpoint_speeds.WorkFactors(
            context.paces, context.speeds
        )
    for number in range(4):
        context.speeds.observe(
            _endpoint(number), 30.0 if number else 60.0, 1.0, context.now_s
        )


def _older_stream_cost(endpoint, stats, remote, own_domain):
    return (
        stats.streams
        + remote.streams
        + choose.STARTING_COST * (stats.starting + remote.starting)
        + choose.BACKUP_COST * (stats.backups + remote.backups)
        + choose.CROSS_DOMAIN_STREAM_COST
        * (endpoint.failure_domain != own_domain)
    )


def _older_call_cost(endpoint, stats, own_domain):
    is_other = endpoint.failure_domain != own_domain
    cost = choose.CROSS_DOMAIN_CALL_COST * is_other
    return (stats.calls + cost) / endpoint.slots


def _random_load(seed):
    rng = random.Random(seed)
    observed = tracker.EndpointTracker()
    remote = {}
    for number in range(4):
        stats = observed.stats(_endpoint(number).endpoint_id)
        stats.calls, stats.streams = rng.randrange(6), rng.randrange(3)
        stats.starting, stats.backups = rng.randrange(2), rng.randrange(3)
        remote[_endpoint(number).endpoint_id] = choose.Placements(
            rng.randrange(3), rng.randrange(2), rng.randrange(3)
        )
    return observed, remote


@behave.then('each of {count:d} random loads costs as much as before')
def costs_as_before(context, count):
    for seed in range(count):
        observed, remote = _random_load(seed)
        for each in map(_endpoint, range(4)):
            factor = context.work.work_factor(each, context.now_s)
            stats = observed.stats(each.endpoint_id)
            placed = remote[each.endpoint_id]
            assert choose.stream_cost(
                each, stats, placed, 'fd-0', factor
            ) == _older_stream_cost(each, stats, placed, 'fd-0')
            assert choose.call_cost(
                each, stats, 'fd-0', 0.0, factor
            ) == _older_call_cost(each, stats, 'fd-0')


@behave.then(
    'calls, streams and backups are placed as before in {count:d} random loads'
)
def placed_as_before(context, count):
    work = context.work.at(SERVICE, context.now_s)
    listed = [_endpoint(number) for number in range(4)]
    for seed in range(count):
        observed, remote = _random_load(seed)
        rng, older_rng = random.Random(seed), random.Random(seed)

        def older(candidates, cost, draw=older_rng):
            return min(
                candidates, key=lambda each: (cost(each), draw.random())
            )

        def stream_cost(each, seen=observed, placed=remote, domain='fd-0'):
            return _older_stream_cost(
                each,
                seen.stats(each.endpoint_id),
                placed[each.endpoint_id],
                domain or each.failure_domain,
            )

        def call_cost(each, seen=observed):
            stats = seen.stats(each.endpoint_id)
            return _older_call_cost(each, stats, 'fd-0')

        found = [
            choose.choose_call(
                listed, observed, set(), 'fd-0', 0.0, rng, work=work
            ),
            choose.choose_stream(
                listed, observed, remote, set(), 'fd-0', 0.0, rng, work=work
            ),
            choose.choose_backup(
                listed, listed[0], observed, remote, 0.0, rng, work=work
            ),
        ]
        assert found == [
            older(listed, call_cost),
            older(listed, stream_cost),
            older(listed[1:3], lambda each: stream_cost(each, domain='')),
        ], seed


@behave.when('{count:d} streams are placed at 4 endpoints')
def streams_placed(context, count):
    observed = tracker.EndpointTracker()
    context.placed = collections.Counter()
    rng = random.Random(1)
    for _ in range(count):
        found = choose.choose_stream(
            [_endpoint(number) for number in range(4)],
            observed,
            {},
            set(),
            'fd-0',
            context.now_s,
            rng,
            work=context.work.at(SERVICE, context.now_s),
        )
        observed.stats(found.endpoint_id).streams += 1
        context.placed[found.endpoint_id] += 1


@behave.then('the slow endpoint has {least:d} to {most:d} of them')
def slow_has(context, least, most):
    count = context.placed[_endpoint(0).endpoint_id]
    assert least <= count <= most, context.placed


@behave.when('a stream has events every {ms:d} ms for {seconds:g} s')
def has_events(context, ms, seconds):
    sends_events(context, ms, seconds, 0)


@behave.when(
    'a stream has events every {ms:d} ms for {seconds:g} s '
    'that take {send_ms:d} ms to send'
)
def sends_events(context, ms, seconds, send_ms):
    meter = speed_meter.SpeedMeter()
    for number in range(int(seconds * 1000 / ms)):
        now_s = 1.0 + number * ms / 1000
        meter.record_events(1, now_s)
        event_ms = meter.record_sent(1.0, now_s + send_ms / 1000)
        if event_ms is not None:
            context.speeds.observe(_endpoint(0), event_ms, 1.0, now_s)


@behave.when('an endpoint shows {text} ms between events')
def shows(context, text):
    for each in text.replace(' and', ',').split(','):
        context.speeds.observe(_endpoint(0), float(each), 1.0, context.now_s)


@behave.then("its endpoint's time between events is {ms:d} ms")
def time_between(context, ms):
    # Relative to an endpoint whose time is known.
    context.speeds.observe(_endpoint(1), ms, 1.0, context.now_s)
    found = context.speeds.relative_speed(_endpoint(0))
    assert abs(found - 1) < 1e-6, found
    assert len(context.speeds.relative_speeds()) == 2


@behave.then('nothing is known of its endpoint')
def nothing_known(context):
    assert not context.speeds.relative_speeds()


@behave.when('another entry reports {text} us for endpoints')
def reports_for_endpoints(context, text):
    figures = [int(each) for each in text.replace(' and', ',').split(',')]
    reports = [
        (_endpoint(number).address, each)
        for number, each in enumerate(figures)
    ]
    # The median is that of sound endpoints.
    usual = [(_endpoint(number).address, 30000) for number in range(10, 20)]
    context.speeds.merge('other', {SERVICE: reports + usual}, context.now_s)
    context.numbers = range(len(figures))


@behave.then('their relative speeds are {text}')
def relative_speeds(context, text):
    expected = [float(each) for each in text.replace(' and', ',').split(',')]
    found = [
        context.speeds.relative_speed(_endpoint(number))
        for number in context.numbers
    ]
    assert found == expected, found


@behave.when('another entry reports {event_us:d} us for it {count:d} times')
def reported_often(context, event_us, count):
    reports = {SERVICE: [(_endpoint(0).address, event_us)]}
    for _ in range(count):
        context.speeds.merge('other', reports, context.now_s)


@behave.when(
    '{count:d} endpoints are observed, one each 0.1 s, and {others:d} '
    'others reported'
)
def many_observed(context, count, others):
    context.numbers = range(count)
    for number in context.numbers:
        context.now_s += 0.1
        context.speeds.observe(_endpoint(number), 30.0, 1.0, context.now_s)
    reports = [
        (_endpoint(count + number).address, 30000) for number in range(others)
    ]
    context.speeds.merge('other', {SERVICE: reports}, context.now_s)


@behave.then(
    'the {count:d} observed last are reported, in at most {limit:d} bytes'
)
def newest_reported(context, count, limit):
    found = context.speeds.reports(context.now_s)
    assert list(found) == [SERVICE]
    assert {address for address, _ in found[SERVICE]} == {
        _endpoint(number).address for number in context.numbers[-count:]
    }
    assert len(msgspec.msgpack.encode(found)) <= limit


@behave.then('{later_s:d} s later none is reported')
def none_reported(context, later_s):
    assert context.speeds.reports(context.now_s + later_s) == {}


@behave.then(
    'its successor at the same address has a relative speed of {expected:g}'
)
def successor_speed(context, expected):
    found = context.speeds.relative_speed(_endpoint(0, incarnation=1))
    assert found == expected, found


@behave.then('{later_s:d} s later nothing is known of it')
def speed_expired(context, later_s):
    context.speeds.expire(context.now_s + later_s)
    nothing_known(context)


@behave.then('of {count:d} addresses {kept:d} are kept')
def addresses_kept(context, count, kept):
    for number in range(count):
        context.speeds.observe(_endpoint(number), 30.0, 1.0, context.now_s)
    assert len(context.speeds.relative_speeds()) == kept


@behave.when('a stream of 8000 tokens completes there in 8 s')
def slow_stream(context):
    slow = _endpoint(0)
    context.estimates = speed.SpeedEstimates()
    context.estimates.observe(
        SERVICE,
        speed_doubles.observation(2000 / 8000, 6000 / 140, 0.14),
        context.work.long_term_speed(slow),
    )


@behave.then('one with {left_s:g} s left {verb} finish at {where}')
def may_finish(context, left_s, verb, where):
    numbers = [0] if where == 'the slow one' else [0, 1]
    factor = context.work.least(_endpoint(number) for number in numbers)
    found = context.estimates.can_finish(
        SERVICE, 8000, 1000, 0, left_s * 1000, factor
    )
    assert found == (verb == 'can'), factor


class _Timers:
    """Calls what is due when the time is advanced."""

    def __init__(self):
        self.now_s = 0.0
        self._due = []

    def call_later(self, delay_s, call):
        entry = [self.now_s + delay_s, call]
        self._due.append(entry)
        return self._Timer(entry, self._due)

    class _Timer:
        def __init__(self, entry, due):
            self._entry, self._due = entry, due

        def cancel(self):
            if self._entry in self._due:
                self._due.remove(self._entry)

    def advance(self, until_s):
        while self._due and min(self._due)[0] <= until_s:
            entry = min(self._due, key=lambda each: each[0])
            self._due.remove(entry)
            self.now_s = entry[0]
            entry[1]()
        self.now_s = until_s


def _observe(context, answer_s, stated_pace, is_answered=True):
    timers = _Timers()
    known = [1.0]
    stated = observation.StatedPace(lambda: timers.now_s, lambda: known[0])
    context.counts = outcome_counts.OutcomeCounts(routes={})
    observed = observation.Observation(
        context.counts,
        'search',
        'e1',
        200.0,
        timers.call_later,
        None if stated_pace is None else stated,
    )
    timers.advance(answer_s)
    if is_answered:
        # The pace comes with the answer.
        known[0] = stated_pace
        observed.record_answer(False)
        observed.close()


@behave.when(
    'a request of a roll-out is answered after {answer_s:g} s by an endpoint '
    'that states {stated}'
)
def answered_after(context, answer_s, stated):
    value = None if stated == 'no pace' else float(stated.split()[-1])
    _observe(context, answer_s, value)


@behave.when('a request of a roll-out is not answered for {seconds:g} s')
def not_answered(context, seconds):
    _observe(context, seconds, 1.0, is_answered=False)


@behave.then('it counts as {kind}')
def counts_as(context, kind):
    counts = context.counts.routes['search'].new
    assert counts.timed == 1, counts
    assert counts.slow == (kind == 'slow'), counts


@behave.when(
    'a stream over a connection has events every {ms:d} ms and a pace of 100'
)
def stream_over_connection(context, ms):
    async def act():
        events = [
            action
            for number in range(1, 14)
            for action in (scripted_endpoint.event(number), ms / 1000)
        ]
        script = [PACED_HEAD, *events, scripted_endpoint.STREAM_END]
        endpoint = await scripted_endpoint.ScriptedEndpoint(script).start()
        site = forwarding_site.ForwardingSite([endpoint])
        try:
            route = forwarding_site.route(routes.RequestKind.STREAM)
            forwarder = streams.StreamForwarder(
                site.context,
                site.routed_request(route),
                forwarding_site.Recorder(list),
            )
            await forwarder.run()
            context.times = forwarder.times
            now_s = asyncio.get_running_loop().time()
            context.reports = site.context.endpoint_speeds.reports(now_s)
            context.address = endpoint.address
        finally:
            await endpoint.stop()

    asyncio.run(act())


@behave.then(
    'its endpoint is known and reported with {least:d} to {most:d} ms '
    'between events'
)
def reported_time(context, least, most):
    [reported] = context.reports.values()
    [(address, event_us)] = reported
    assert address == context.address
    assert least * 1000 <= event_us <= most * 1000, event_us


@behave.then("the stream's log names the speed {expected:g} for its endpoint")
def logged_speed(context, expected):
    assert context.times.speeds == [expected], context.times


@behave.given(
    'two entries, of which one saw an endpoint with 30 ms and one with 60'
)
def two_entries(context):
    async def build():
        return [
            process.FleetEntry(entry_settings.without_store(ip))
            for ip in ('127.0.7.8', '127.0.7.9')
        ]

    context.entries = asyncio.run(build())
    known = context.entries[0]._context
    for number, event_ms in enumerate((60.0, 30.0, 30.0)):
        known.endpoint_speeds.observe(
            _endpoint(number), event_ms, 1.0, time.monotonic()
        )


@behave.when('the other gets its record')
def gets_record(context):
    first, other = context.entries
    sent = node.encode([members.AgedRecord(0, first._build_record(1))])
    [received] = msgspec.msgpack.decode(sent, type=list[members.AgedRecord])
    other._merge_record(received.record, 0.0)


@behave.then(
    'the other knows a relative speed of {slow:g} and {usual:g} and that '
    'pace is stated'
)
def other_knows(context, slow, usual):
    known = context.entries[1]._context
    assert known.paces.is_stated(SERVICE)
    for number, expected in enumerate((slow, usual)):
        factor = known.work_factors.work_factor(
            _endpoint(number), time.monotonic()
        )
        assert factor == 1 / expected, factor


@behave.then('its metrics name the speed of both addresses')
def metrics_name_speeds(context):
    known = context.entries[1]._context
    known.counters.set_speeds(known.endpoint_speeds.relative_speeds(), {})
    content, _ = renderer.render(known.counters.registry, [])
    for number in range(2):
        assert _endpoint(number).address.encode() in content, content


@behave.then('the pace of a removed endpoint is forgotten, its speed is not')
def pace_forgotten(context):
    other = context.entries[1]
    known = other._context
    now_s = time.monotonic()
    endpoint = _endpoint(0)
    known.paces.record(SERVICE, endpoint.endpoint_id, 2.0, now_s)
    other._on_endpoint_removed(endpoint.endpoint_id)
    assert known.paces.pace(endpoint.endpoint_id, now_s) == 1.0
    assert known.endpoint_speeds.relative_speed(endpoint) == 0.5


@behave.then('a pace that an endpoint states after its removal is not kept')
def late_pace_dropped(context):
    paces = context.entries[1]._context.paces
    stated_s = time.monotonic() - pace.PACE_VALID_S
    paces.record(SERVICE, _endpoint(0).endpoint_id, 2.0, stated_s)
    context.entries[1]._expire_speeds()
    assert paces.pace(_endpoint(0).endpoint_id, stated_s) == 1.0
