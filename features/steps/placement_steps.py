"""Steps for the selection of endpoints."""

from __future__ import annotations

import heapq
import itertools
import random

import behave
from godwitvalve.fleet import endpoints
from godwitvalve.placement import choose
from godwitvalve.placement import sessions
from godwitvalve.placement import tracker

PROMPT_S = 1.1
STREAM_S = 6.0


def _endpoint(name):
    return endpoints.FleetEndpoint(
        name, 'summaries', f'{name}:80', name[0], 'v1', 128, False, 1
    )


def _peer_placements(trackers, own):
    totals = {}
    for other in trackers:
        if other is own:
            continue
        for name, placed in other.placements().items():
            before = totals.get(name, choose.Placements())
            totals[name] = choose.Placements(
                *(a + b for a, b in zip(before, placed))
            )
    return totals


def count_overlaps(count, entries, names, is_shared, seed=3):
    """Return how many streams start during the prompt of another one."""
    rng = random.Random(seed)
    candidates = [_endpoint(name) for name in names]
    trackers = [tracker.EndpointTracker() for _ in range(entries)]
    changes = []
    order = itertools.count()
    now_s = 0.0
    overlaps = 0
    for _ in range(count):
        now_s += rng.expovariate(entries / 2)
        while changes and changes[0][0] <= now_s:
            heapq.heappop(changes)[2]()
        own = rng.choice(trackers)
        remote_placements = (
            _peer_placements(trackers, own) if is_shared else {}
        )
        found = choose.choose_stream(
            candidates, own, remote_placements, set(), 'a', now_s, rng
        )
        name = found.endpoint_id
        overlaps += any(each.stats(name).starting for each in trackers)
        stats = own.stats(name)
        stats.streams += 1
        stats.starting += 1

        def prompt_processed(stats=stats):
            stats.starting -= 1

        def ended(stats=stats):
            stats.streams -= 1

        heapq.heappush(
            changes, (now_s + PROMPT_S, next(order), prompt_processed)
        )
        heapq.heappush(changes, (now_s + STREAM_S, next(order), ended))
    return overlaps


@behave.when(
    '{count:d} streams of {entries:d} entries are placed at '
    '{number:d} endpoints'
)
def place_streams(context, count, entries, number):
    names = [f'{"abc"[each % 3]}{each}' for each in range(number)]
    context.placed_count = count
    # An update takes a few milliseconds and a prompt a second, so updates
    # arrive at once here.
    context.overlaps = count_overlaps(count, entries, names, True)
    context.naive_overlaps = count_overlaps(count, entries, names, False)


@behave.then(
    'at most {percent:d} in 100 start during the prompt of another stream'
)
def few_overlaps(context, percent):
    found = context.overlaps
    assert found <= context.placed_count * percent / 100, found


@behave.then(
    'without the placements of other entries at least {percent:d} in 100 do'
)
def naive_overlaps(context, percent):
    found = context.naive_overlaps
    assert found >= context.placed_count * percent / 100, found


@behave.given('endpoints "{names}" by failure domain')
def by_domain(context, names):
    context.candidates = [_endpoint(name) for name in names.split(', ')]
    context.tracker = tracker.EndpointTracker()


def _backups(context, name):
    running = _endpoint(name)
    return {
        choose.choose_backup(
            context.candidates,
            running,
            context.tracker,
            {},
            0.0,
            random.Random(seed),
        ).endpoint_id
        for seed in range(30)
    }


@behave.then('no backup of a stream at "{name}" is in its failure domain')
def backup_apart(context, name):
    found = _backups(context, name)
    assert found and all(each[0] != name[0] for each in found), found


@behave.then('the backup of a stream at "{name}" is "{backup}"')
def backup_is(context, name, backup):
    assert _backups(context, name) == {backup}


@behave.when('all of them fail at once')
def all_fail(context):
    for each in context.candidates:
        context.tracker.record_failure(each.endpoint_id, 0.0)


def _streams(context, session_endpoint=None):
    return {
        choose.choose_stream(
            context.candidates,
            context.tracker,
            {},
            set(),
            'a',
            0.0,
            random.Random(seed),
            session_endpoint,
        ).endpoint_id
        for seed in range(30)
    }


@behave.then('a stream still has an endpoint')
def still_has_endpoint(context):
    assert _streams(context)


@behave.when('"{first}" and "{second}" are lost')
def two_lost(context, first, second):
    for name in (first, second):
        context.tracker.record_loss(name, 0.0)


@behave.when('"{name}" is lost')
def one_lost(context, name):
    context.tracker.record_loss(name, 0.0)


@behave.then('a stream goes to "{names}"')
def stream_goes(context, names):
    assert _streams(context) == set(names.split(', ')), _streams(context)


@behave.when('"{name}" runs {count:d} streams')
def runs_streams(context, name, count):
    context.tracker.stats(name).streams = count


@behave.then('a stream whose prompt "{name}" has processed goes to "{other}"')
def session_goes(context, name, other):
    assert _streams(context, name) == {other}


@behave.then(
    'a stream whose prompt "{name}" has processed does not go to "{other}"'
)
def session_goes_elsewhere(context, name, other):
    assert other not in _streams(context, name)


@behave.when('{count:d} sessions are merged over {span_s:d} s')
def merge_sessions(context, count, span_s):
    context.session_table = sessions.SessionTable()
    context.now_s = 0.0
    for number in range(count):
        context.now_s = number * span_s / count
        context.session_table.merge({f's{number}': 'a1'}, context.now_s)
        context.session_table.expire(context.now_s)
    context.newest = f's{count - 1}'


@behave.then(
    'at most {limit:d} sessions are kept and the newest is among them'
)
def sessions_kept(context, limit):
    kept = sum(
        context.session_table.find(f's{number}', context.now_s) is not None
        for number in range(10000)
    )
    assert 0 < kept <= limit, kept
    assert context.session_table.find(context.newest, context.now_s) == 'a1'
