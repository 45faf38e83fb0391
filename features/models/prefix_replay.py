"""Replays sessions of several turns at engines that cache prompts."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import statistics

from godwitvalve.fleet import endpoints
from godwitvalve.placement import choose
from godwitvalve.placement import prefixes
from godwitvalve.placement import sessions
from godwitvalve.placement import tracker
from godwitvalve.platform import headers

SERVICE = 'summaries'
ENGINES = 24
SLOTS = 16
CAPACITY_TOKENS = 88_000
TOKENS_PER_S = 8000
ENTRIES = 4
TURNS = 4
OUTPUT_TOKENS = 560
OUTPUT_S = 4.0
THINK_S = 3.0
REPORT_S = 0.25
SPAN_S = 60.0


@dataclasses.dataclass
class _Engine:
    """Reads one prompt after the other; evicts the least recently used."""

    endpoint: endpoints.FleetEndpoint
    free_s: float = 0.0
    cache: dict[str, int] = dataclasses.field(default_factory=dict)
    pinned: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    ends: list[float] = dataclasses.field(default_factory=list)

    def begin(self, segments, now_s):
        """Return the tokens to read and the time of the first event."""
        held = itertools.takewhile(
            lambda each: each[0] in self.cache, segments
        )
        unread = sum(each.tokens for each in segments)
        unread -= sum(each.tokens for each in held)
        self.ends = [each for each in self.ends if each > now_s]
        begin_s = max(now_s, self.free_s)
        if len(self.ends) >= SLOTS:
            begin_s = max(begin_s, heapq.nsmallest(1, self.ends)[0])
        self.free_s = first_s = begin_s + unread / TOKENS_PER_S
        self.ends.append(first_s + OUTPUT_S)
        self.pinned.update(each.segment_id for each in segments)
        self.touch(segments)
        return unread, first_s

    def end(self, segments):
        self.pinned.subtract(each.segment_id for each in segments)
        self.touch([*segments, headers.PromptSegment('out', OUTPUT_TOKENS)])

    def touch(self, segments):
        # The last segments of a prompt are evicted first.
        for name, tokens in reversed(segments):
            self.cache.pop(name, None)
            self.cache[name] = tokens
        excess = sum(self.cache.values()) - CAPACITY_TOKENS
        for name in [each for each in self.cache if not self.pinned[each]]:
            if excess <= 0:
                return
            excess -= self.cache.pop(name)


class _Entry:
    def __init__(self):
        self.tracker = tracker.EndpointTracker()
        self.prefixes = prefixes.PrefixTable()
        self.sessions = sessions.SessionTable()


class PrefixReplay:
    """One run with a seed.

    :param rule: ``older``, ``always`` or ``weighed``.
    :param rate: new sessions a second.
    :param restarts: whether most engines of a failure domain restart every
        six seconds.
    """

    def __init__(self, seed, rule, rate, restarts=True):
        self._rng = random.Random(seed)
        # The load is the same under each rule.
        self._load = random.Random(seed + 100)
        self._rule = rule
        self._rate = rate
        self._numbers = itertools.count()
        self._events = []
        self._engines = {}
        self._entries = [_Entry() for _ in range(ENTRIES)]
        self.waits_s = []
        self.tokens_read = 0
        for number in range(ENGINES):
            self._start(f'e{number}', 'abc'[number % 3])
        self._at(0.0, self._arrive, 0.0)
        self._at(REPORT_S, self._report, REPORT_S)
        if restarts:
            self._at(6.0, self._restart, 6.0)

    def endpoint(self, name):
        return self._engines[name].endpoint

    def run(self):
        while self._events and self._events[0][0] < SPAN_S:
            _, _, work, arguments = heapq.heappop(self._events)
            work(*arguments)
        return statistics.mean(self.waits_s), self.tokens_read

    def _at(self, at_s, work, *arguments):
        item = at_s, next(self._numbers), work, arguments
        heapq.heappush(self._events, item)

    def _start(self, name, domain):
        endpoint = endpoints.FleetEndpoint(
            name, SERVICE, f'{name}:80', domain, 'v1', SLOTS, False, 1
        )
        self._engines[name] = _Engine(endpoint)

    def _arrive(self, now_s):
        number = next(self._numbers)
        segments = (
            headers.PromptSegment('shared', 2000),
            headers.PromptSegment(f's{number}', 1500),
        )
        self._send(segments, now_s, now_s, 1)
        next_s = now_s + self._load.expovariate(self._rate)
        self._at(next_s, self._arrive, next_s)

    def _report(self, now_s):
        for sender, receiver in itertools.permutations(self._entries, 2):
            receiver.prefixes.merge(sender.sessions.running(), now_s)
            receiver.sessions.merge(sender.sessions.running(), now_s)
        self._at(now_s + REPORT_S, self._report, now_s + REPORT_S)

    def _restart(self, now_s):
        domain = self._load.choice('abc')
        for name, engine in list(self._engines.items()):
            if engine.endpoint.failure_domain == domain:
                if self._load.random() < 0.9:
                    del self._engines[name]
                    for entry in self._entries:
                        entry.prefixes.forget(name)
                    self._start(f'{name}.', domain)
        self._at(now_s + 6.0, self._restart, now_s + 6.0)

    def _savings(self, entry, demand, now_s):
        def saving(endpoint):
            name = endpoint.endpoint_id
            found = entry.prefixes.saving(name, demand, now_s)
            return found * (1000 if self._rule == 'always' else 1)

        return None if self._rule == 'older' else saving

    def _send(self, segments, sent_s, now_s, turn):
        entry = self._rng.choice(self._entries)
        session = segments[-1].segment_id
        session_endpoint = entry.sessions.find(session, now_s)
        demand = prefixes.Demand(
            SERVICE, segments, CAPACITY_TOKENS, session_endpoint
        )
        remote = collections.defaultdict(choose.Placements)
        for other in self._entries:
            if other is not entry:
                for name, placed in other.tracker.placements().items():
                    sums = map(sum, zip(remote[name], placed))
                    remote[name] = choose.Placements(*sums)
        found = choose.choose_stream(
            [each.endpoint for each in self._engines.values()],
            entry.tracker,
            remote,
            set(),
            'a',
            now_s,
            self._rng,
            session_endpoint,
            savings=self._savings(entry, demand, now_s),
        )
        engine = self._engines[found.endpoint_id]
        stats = entry.tracker.stats(found.endpoint_id)
        stats.streams += 1
        stats.starting += 1
        unread, first_s = engine.begin(segments, now_s)
        self.tokens_read += unread
        entry.sessions.begin(session, found.endpoint_id)
        run = entry, engine, demand, sent_s, turn
        self._at(first_s, self._first_event, run, first_s)

    def _first_event(self, run, now_s):
        entry, engine, demand, sent_s, turn = run
        name = engine.endpoint.endpoint_id
        entry.tracker.stats(name).starting -= 1
        if name not in self._engines:
            self._end(run, now_s)
            return
        if sent_s is not None:
            self.waits_s.append(now_s - sent_s)
        entry.prefixes.record(name, demand, 0, now_s)
        # A stream that has begun and is resumed has no first event again.
        run = entry, engine, demand, None, turn
        self._at(now_s + OUTPUT_S, self._end, run, now_s + OUTPUT_S)

    def _end(self, run, now_s):
        entry, engine, demand, sent_s, turn = run
        name = engine.endpoint.endpoint_id
        entry.tracker.stats(name).streams -= 1
        session = demand.segments[-1].segment_id
        is_complete = name in self._engines
        entry.sessions.end(session, is_complete, now_s)
        if not is_complete:
            self._send(demand.segments, sent_s, now_s, turn)
            return
        entry.prefixes.record(name, demand, OUTPUT_TOKENS, now_s)
        engine.end(demand.segments)
        if turn < TURNS:
            added = headers.PromptSegment(f'{session}+', 700)
            at_s = now_s + self._load.expovariate(1 / THINK_S)
            self._at(
                at_s,
                self._send,
                (*demand.segments, added),
                at_s,
                at_s,
                turn + 1,
            )
